#include "api_call.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace arrowstile {
namespace {

constexpr std::string_view askVerb = "Q.ASK", doVerb = "Q.DO";
constexpr std::uint64_t customersEnd = 1ull << 33;
constexpr double longestWaitMs = 3600e3;

bool readHex(std::string_view text, std::uint64_t &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return text.size() == 16 && error == std::errc{} && end == text.data() + text.size();
}

bool readReal(std::string_view text, double least, double most, double &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value >= least && value <= most;
}

bool readWhole(std::string_view text, unsigned least, unsigned most, unsigned &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value >= least && value <= most;
}

template <class Place>
bool readName(const std::vector<std::string> &names, std::string_view text, Place &place) {
    const auto found = std::find(names.begin(), names.end(), text);
    place.value = static_cast<decltype(place.value)>(found - names.begin());
    return found != names.end();
}

}  // namespace

bool isApiCallCommand(std::string_view commandName) {
    return commandName == askVerb || commandName == doVerb;
}

std::string_view parseApiCall(const resp::Command &command, const Settings &settings, ApiCall &call) {
    const auto &words = command.arguments;
    if (words.size() < 4 || words.size() > 5) return "wrong number of arguments";
    if (!readHex(words[1], call.event.customer.value) || call.event.customer.value >= customersEnd) {
        return "no such customer";
    }
    if (words[2].empty() || words[2].size() > 64) return "no such id";
    const std::string_view list = words[3];
    bool hasRoute = false, hasPlan = settings.planNames.empty(), hasPatience = false;
    for (std::size_t at = 0; at <= list.size();) {
        const auto end = std::min(list.find(',', at), list.size());
        const auto item = list.substr(at, end - at);
        const auto equals = std::min(item.find('='), item.size());
        const auto name = item.substr(0, equals), value = item.substr(std::min(equals + 1, item.size()));
        double waitMs = 0;
        if (name == "c") {
            if (!readName(settings.routeNames, value, call.event.route)) return "unknown class";
            hasRoute = true;
        } else if (name == "t") {
            if (!readName(settings.planNames, value, call.event.plan)) return "unknown plan";
            hasPlan = true;
        } else if (name == "d") {
            if (!readReal(value, 0, longestWaitMs, waitMs)) return "bad time";
            call.event.timeRemaining = Duration{std::llround(waitMs * 1000)};
            call.fieldsBeforeTimeout = list.substr(0, at + equals + 1);
            call.fieldsAfterTimeout = list.substr(end);
            hasPatience = true;
        } else if (name == "units") {
            if (!readReal(value, 0, settings.engine.maxUnits, call.event.units) || call.event.units <= 0)
                return "bad units";
        } else if (name == "spread") {
            if (!readWhole(value, 1, settings.engine.gatewayCount, call.event.gatewaySubsetSize))
                return "bad spread";
        } else if (name == "first") {
            if (!readWhole(value, 0, settings.engine.gatewayCount - 1, call.event.gatewaySubsetStart))
                return "bad first";
        } else if (name == "r") {
            call.event.isClientRetry = value == "1";
        }
        at = end + 1;
    }
    if (!hasRoute) return "no class";
    if (!hasPlan) return "no plan";
    if (!hasPatience) return "no time";
    const bool asks = settings.engine.routes[call.event.route.value].effect == Effect::idempotent;
    if (asks != (words[0] == askVerb)) return "wrong command for this class";
    call.commandName = words[0];
    call.customerHex = words[1];
    call.requestId = words[2];
    call.hasBody = words.size() == 5;
    if (call.hasBody) call.body = words[4];
    return {};
}

void ApiCall::appendCommand(std::string &out, Duration timeout) const {
    resp::appendArrayHeader(out, hasBody ? 5 : 4);
    resp::appendBulk(out, commandName);
    resp::appendBulk(out, customerHex);
    resp::appendBulk(out, requestId);
    const auto waitMs = std::max<std::int64_t>(1, timeout.count() / 1000);
    resp::appendBulk(out, fieldsBeforeTimeout + std::to_string(waitMs) + fieldsAfterTimeout);
    if (hasBody) resp::appendBulk(out, body);
}

}  // namespace arrowstile
