#include "api_call.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace arrowstile {
namespace {

constexpr std::string_view kAskCommand = "Q.ASK";
constexpr std::string_view kDoCommand = "Q.DO";
constexpr std::uint64_t kCustomerIdEnd = 1ull << 33;  // customer ids have 33 bits
constexpr double kMaxTimeoutMs = 3600e3;              // one hour

/// Returns false unless the text is 16 hexadecimal digits.
bool parseHex64(std::string_view text, std::uint64_t &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return text.size() == 16 && error == std::errc{} && end == text.data() + text.size();
}

/// Returns false unless the text is a number from `min` to `max`.
bool parseNumber(std::string_view text, double min, double max, double &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value >= min && value <= max;
}

/// Returns false unless the text is a whole number from `min` to `max`.
bool parseUnsigned(std::string_view text, unsigned min, unsigned max, unsigned &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value >= min && value <= max;
}

/// Sets `index` to the position of `name` in `names`; returns false if it isn't one of them.
template <class Index>
bool findIndex(const std::vector<std::string> &names, std::string_view name, Index &index) {
    const auto found = std::find(names.begin(), names.end(), name);
    index.value = static_cast<decltype(index.value)>(found - names.begin());
    return found != names.end();
}

}  // namespace

bool isApiCallCommand(std::string_view commandName) {
    return commandName == kAskCommand || commandName == kDoCommand;
}

std::string_view parseApiCall(const resp::Command &command, const Settings &settings, ApiCall &call) {
    const auto &arguments = command.arguments;
    if (arguments.size() < 4 || arguments.size() > 5) return "wrong number of arguments";
    if (!parseHex64(arguments[1], call.event.customer.value) || call.event.customer.value >= kCustomerIdEnd) {
        return "no such customer";
    }
    if (arguments[2].empty() || arguments[2].size() > 64) return "no such id";
    const std::string_view fields = arguments[3];
    bool hasRoute = false;
    bool hasPlan = settings.planNames.empty();  // `t` is required only where the settings have plans
    bool hasTimeout = false;
    for (std::size_t begin = 0; begin <= fields.size();) {
        const auto end = std::min(fields.find(',', begin), fields.size());
        const auto field = fields.substr(begin, end - begin);
        const auto equals = std::min(field.find('='), field.size());
        const auto name = field.substr(0, equals), value = field.substr(std::min(equals + 1, field.size()));
        double timeoutMs = 0;
        if (name == "c") {
            if (!findIndex(settings.routeNames, value, call.event.route)) return "unknown class";
            hasRoute = true;
        } else if (name == "t") {
            if (!findIndex(settings.planNames, value, call.event.plan)) return "unknown plan";
            hasPlan = true;
        } else if (name == "d") {
            if (!parseNumber(value, 0, kMaxTimeoutMs, timeoutMs)) return "bad time";
            call.event.timeRemaining = Duration{std::llround(timeoutMs * 1000)};
            call.fieldsBeforeTimeout = fields.substr(0, begin + equals + 1);
            call.fieldsAfterTimeout = fields.substr(end);
            hasTimeout = true;
        } else if (name == "units") {
            if (!parseNumber(value, 0, settings.engine.maxUnits, call.event.units) || call.event.units <= 0)
                return "bad units";
        } else if (name == "spread") {
            if (!parseUnsigned(value, 1, settings.engine.gatewayCount, call.event.gatewaySubsetSize))
                return "bad spread";
        } else if (name == "first") {
            if (!parseUnsigned(value, 0, settings.engine.gatewayCount - 1, call.event.gatewaySubsetStart))
                return "bad first";
        } else if (name == "r") {
            call.event.isClientRetry = value == "1";
        }
        begin = end + 1;
    }
    if (!hasRoute) return "no class";
    if (!hasPlan) return "no plan";
    if (!hasTimeout) return "no time";
    const bool isIdempotent = settings.engine.routes[call.event.route.value].effect == Effect::idempotent;
    if (isIdempotent != (arguments[0] == kAskCommand)) return "wrong command for this class";
    call.commandName = arguments[0];
    call.customerHex = arguments[1];
    call.requestId = arguments[2];
    call.hasBody = arguments.size() == 5;
    if (call.hasBody) call.body = arguments[4];
    return {};
}

std::size_t ApiCall::textBytes() const {
    return commandName.size() + customerHex.size() + requestId.size() + fieldsBeforeTimeout.size() +
           fieldsAfterTimeout.size() + body.size();
}

void ApiCall::appendCommand(std::string &out, Duration timeout) const {
    resp::appendArrayHeader(out, hasBody ? 5 : 4);
    resp::appendBulk(out, commandName);
    resp::appendBulk(out, customerHex);
    resp::appendBulk(out, requestId);
    const auto timeoutMs = std::max<std::int64_t>(1, timeout.count() / 1000);
    resp::appendBulk(out, fieldsBeforeTimeout + std::to_string(timeoutMs) + fieldsAfterTimeout);
    if (hasBody) resp::appendBulk(out, body);
}

}  // namespace arrowstile
