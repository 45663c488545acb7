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

std::vector<double> parseLoadReport(std::string_view text, const Settings &settings) {
    std::vector<double> load;
    for (const std::string &column : settings.loadColumnNames) {
        auto value = figure(text, column);
        if (!value) value = figure(text, spelledOut(column));
        if (!value) return {};
        load.push_back(*value);
    }
    return load;
}

bool mayBecomeCallReply(std::string_view received, std::size_t maxValueBytes) {
    const bool known = received.empty() || received[0] == '*' || received[0] == '-';
    return known && received.size() <= maxValueBytes + besideValue;
}

WorkerReply parseWorkerReply(const resp::Reply &reply, const Settings &settings) {
    using Kind = resp::Reply::Kind;
    WorkerReply read;
    const auto &items = reply.items;
    if (reply.kind == Kind::array && items.size() == replyItems && items[0].kind == Kind::bulk) {
        read.outcome = Outcome::answered;
        read.value = items[0].text;
        if (items[1].kind == Kind::bulk) {
            if (const auto used = figure(items[1].text, "used")) read.rateUsedFraction = *used / 100;
            if (settings.engine.hasActualUnits) read.actualUnits = figure(items[1].text, "cost");
        }
        if (items[2].kind == Kind::bulk) read.load = parseLoadReport(items[2].text, settings);
    } else if (reply.kind == Kind::error) {
        const auto word = reply.text.substr(0, reply.text.find(' '));
        if (word == "BUSY") read.outcome = Outcome::overloaded;
        read.isSyntaxError = word == "SYNTAX";
        const auto last = reply.text.rfind(' ');
        if (last != std::string_view::npos)
            read.load = parseLoadReport(reply.text.substr(last + 1), settings);
    } else {
        read.isUnexpected = true;
    }
    return read;
}

}  // namespace arrowstile
