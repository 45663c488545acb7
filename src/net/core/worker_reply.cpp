#include "worker_reply.hpp"

#include <algorithm>
#include <charconv>

namespace arrowstile {
namespace {

/// Figures above this are taken for invalid.
constexpr double kMaxFigure = 1e9;
constexpr std::size_t kMaxBytesBesideValue = 8 * 1024;  // RESP headers, usage figures and load report
constexpr std::size_t kReplyItemCount = 3;

/// Value of `name` in a text `name=value,name=value`. Returns nullopt if it is missing, not a number,
/// negative or above kMaxFigure.
std::optional<double> findFigure(std::string_view text, std::string_view name) {
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        const auto field = text.substr(0, end);
        const auto equals = field.find('=');
        if (equals != std::string_view::npos && field.substr(0, equals) == name) {
            double value = 0;
            const auto digits = field.substr(equals + 1);
            const auto digitsEnd = digits.data() + digits.size();
            const auto [parsedEnd, error] = std::from_chars(digits.data(), digitsEnd, value);
            const bool isValid =
                error == std::errc{} && parsedEnd == digitsEnd && value >= 0 && value <= kMaxFigure;
            return isValid ? std::optional(value) : std::nullopt;
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::nullopt;
}

/// Name under which a load report may hold a column that the settings call by a short name.
std::string_view longColumnName(std::string_view column) {
    static constexpr std::pair<std::string_view, std::string_view> names[] = {
        {"rif", "inflight"},      {"q", "queue"},  {"busy", "util"},
        {"lat_ms", "latency_ms"}, {"rate", "qps"}, {"fail_rate", "eps"}};
    for (const auto &[shortName, longName] : names) {
        if (column == shortName) return longName;
    }
    return column;
}

}  // namespace

std::vector<double> parseLoadReport(std::string_view text, const Settings &settings) {
    std::vector<double> load;
    for (const std::string &column : settings.loadColumnNames) {
        auto value = findFigure(text, column);
        if (!value) value = findFigure(text, longColumnName(column));
        if (!value) return {};
        load.push_back(*value);
    }
    return load;
}

bool mayBecomeCallReply(std::string_view received, std::size_t maxValueBytes) {
    const bool hasPossibleType = received.empty() || received[0] == '*' || received[0] == '-';
    return hasPossibleType && received.size() <= maxValueBytes + kMaxBytesBesideValue;
}

WorkerReply parseWorkerReply(const resp::Reply &reply, const Settings &settings) {
    using Kind = resp::Reply::Kind;
    WorkerReply result;
    const auto &items = reply.items;
    if (reply.kind == Kind::array && items.size() == kReplyItemCount && items[0].kind == Kind::bulk) {
        result.outcome = Outcome::answered;
        result.value = items[0].text;
        if (items[1].kind == Kind::bulk) {
            if (const auto usedPercent = findFigure(items[1].text, "used"))
                result.rateUsedFraction = *usedPercent / 100;
            if (settings.engine.hasActualUnits) result.actualUnits = findFigure(items[1].text, "cost");
        }
        if (items[2].kind == Kind::bulk) result.load = parseLoadReport(items[2].text, settings);
    } else if (reply.kind == Kind::error) {
        const auto errorWord = reply.text.substr(0, reply.text.find(' '));
        if (errorWord == "BUSY") result.outcome = Outcome::overloaded;
        result.isSyntaxError = errorWord == "SYNTAX";
        const auto lastSpace = reply.text.rfind(' ');
        if (lastSpace != std::string_view::npos)
            result.load = parseLoadReport(reply.text.substr(lastSpace + 1), settings);
    } else {
        result.isUnexpected = true;
    }
    return result;
}

}  // namespace arrowstile
