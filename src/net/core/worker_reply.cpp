#include "worker_reply.hpp"

#include <algorithm>
#include <charconv>

namespace arrowstile {
namespace {

std::optional<double> figure(std::string_view text, std::string_view name) {
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        const auto item = text.substr(0, end);
        const auto equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == name) {
            double value = 0;
            const auto digits = item.substr(equals + 1);
            const auto last = digits.data() + digits.size();
            const auto [at, error] = std::from_chars(digits.data(), last, value);
            return error == std::errc{} && at == last ? std::optional(value) : std::nullopt;
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::nullopt;
}

/// Reports spell some figures out that the settings shorten.
std::string_view spelledOut(std::string_view column) {
    static constexpr std::pair<std::string_view, std::string_view> words[] = {
        {"rif", "inflight"},      {"q", "queue"},  {"busy", "util"},
        {"lat_ms", "latency_ms"}, {"rate", "qps"}, {"fail_rate", "eps"}};
    for (const auto &[shortly, full] : words) {
        if (column == shortly) return full;
    }
    return column;
}

}  // namespace

std::vector<double> readLoad(std::string_view text, const Site &site) {
    std::vector<double> load;
    for (const std::string &column : site.loadColumns) {
        auto value = figure(text, column);
        if (!value) value = figure(text, spelledOut(column));
        if (!value) return {};
        load.push_back(*value);
    }
    return load;
}

WorkerReply readWorkerReply(const resp::Reply &reply, const Site &site) {
    using Kind = resp::Reply::Kind;
    WorkerReply read;
    const auto &items = reply.items;
    if (reply.kind == Kind::array && !items.empty() && items[0].kind == Kind::bulk) {
        read.outcome = Outcome::answered;
        read.value = items[0].text;
        if (items.size() > 1 && items[1].kind == Kind::bulk) {
            if (const auto used = figure(items[1].text, "used")) read.meteredShare = *used / 100;
            read.trueUnits = figure(items[1].text, "cost");
        }
        if (items.size() > 2 && items[2].kind == Kind::bulk) read.load = readLoad(items[2].text, site);
    } else if (reply.kind == Kind::error) {
        const auto word = reply.text.substr(0, reply.text.find(' '));
        if (word == "BUSY") read.outcome = Outcome::full;
        read.misspelt = word == "SYNTAX";
        const auto last = reply.text.rfind(' ');
        if (last != std::string_view::npos) read.load = readLoad(reply.text.substr(last + 1), site);
    }
    return read;
}

}  // namespace arrowstile
