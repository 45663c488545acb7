#include "worker_reply.hpp"

#include <algorithm>
#include <charconv>

namespace arrowstile {
namespace {

constexpr double mostFigure = 1e9;  // and no less than nought: what is beyond, or no number, is no figure
constexpr std::size_t besideValue = 8 * 1024, replyItems = 3;

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
            const bool sound = error == std::errc{} && at == last && value >= 0 && value <= mostFigure;
            return sound ? std::optional(value) : std::nullopt;
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

std::vector<double> readLoad(std::string_view text, const Settings &site) {
    std::vector<double> load;
    for (const std::string &column : site.loadColumnNames) {
        auto value = figure(text, column);
        if (!value) value = figure(text, spelledOut(column));
        if (!value) return {};
        load.push_back(*value);
    }
    return load;
}

bool mayBeReply(std::string_view begun, std::size_t longest) {
    const bool known = begun.empty() || begun[0] == '*' || begun[0] == '-';
    return known && begun.size() <= longest + besideValue;
}

WorkerReply readWorkerReply(const resp::Reply &reply, const Settings &site) {
    using Kind = resp::Reply::Kind;
    WorkerReply read;
    const auto &items = reply.items;
    if (reply.kind == Kind::array && items.size() == replyItems && items[0].kind == Kind::bulk) {
        read.outcome = Outcome::answered;
        read.value = items[0].text;
        if (items[1].kind == Kind::bulk) {
            if (const auto used = figure(items[1].text, "used")) read.meteredShare = *used / 100;
            if (site.engine.hasActualUnits) read.trueUnits = figure(items[1].text, "cost");
        }
        if (items[2].kind == Kind::bulk) read.load = readLoad(items[2].text, site);
    } else if (reply.kind == Kind::error) {
        const auto word = reply.text.substr(0, reply.text.find(' '));
        if (word == "BUSY") read.outcome = Outcome::overloaded;
        read.misspelt = word == "SYNTAX";
        const auto last = reply.text.rfind(' ');
        if (last != std::string_view::npos) read.load = readLoad(reply.text.substr(last + 1), site);
    } else {
        read.spoilt = true;
    }
    return read;
}

}  // namespace arrowstile
