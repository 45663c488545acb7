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

bool isApiCall(std::string_view verb) { return verb == askVerb || verb == doVerb; }

std::string_view readApiCall(const resp::Command &command, const Settings &site, ApiCall &call) {
    const auto &words = command.words;
    if (words.size() < 4 || words.size() > 5) return "wrong number of arguments";
    if (!readHex(words[1], call.taken.customer.value) || call.taken.customer.value >= customersEnd) {
        return "no such customer";
    }
    if (words[2].empty() || words[2].size() > 64) return "no such id";
    const std::string_view list = words[3];
    bool hasRoute = false, hasPlan = site.planNames.empty(), hasPatience = false;
    for (std::size_t at = 0; at <= list.size();) {
        const auto end = std::min(list.find(',', at), list.size());
        const auto item = list.substr(at, end - at);
        const auto equals = std::min(item.find('='), item.size());
        const auto name = item.substr(0, equals), value = item.substr(std::min(equals + 1, item.size()));
        double waitMs = 0;
        if (name == "c") {
            if (!readName(site.routeNames, value, call.taken.route)) return "unknown class";
            hasRoute = true;
        } else if (name == "t") {
            if (!readName(site.planNames, value, call.taken.plan)) return "unknown plan";
            hasPlan = true;
        } else if (name == "d") {
            if (!readReal(value, 0, longestWaitMs, waitMs)) return "bad time";
            call.taken.timeRemaining = Duration{std::llround(waitMs * 1000)};
            call.before = list.substr(0, at + equals + 1);
            call.after = list.substr(end);
            hasPatience = true;
        } else if (name == "units") {
            if (!readReal(value, 0, site.engine.maxUnits, call.taken.units) || call.taken.units <= 0)
                return "bad units";
        } else if (name == "spread") {
            if (!readWhole(value, 1, site.engine.gatewayCount, call.taken.gatewaySubsetSize))
                return "bad spread";
        } else if (name == "first") {
            if (!readWhole(value, 0, site.engine.gatewayCount - 1, call.taken.gatewaySubsetStart))
                return "bad first";
        } else if (name == "r") {
            call.taken.isClientRetry = value == "1";
        }
        at = end + 1;
    }
    if (!hasRoute) return "no class";
    if (!hasPlan) return "no plan";
    if (!hasPatience) return "no time";
    const bool asks = site.engine.routes[call.taken.route.value].effect == Effect::idempotent;
    if (asks != (words[0] == askVerb)) return "wrong command for this class";
    call.verb = words[0];
    call.customer = words[1];
    call.id = words[2];
    call.hasBody = words.size() == 5;
    if (call.hasBody) call.body = words[4];
    return {};
}

void ApiCall::addCommand(std::string &out, Duration patience) const {
    resp::addArrayHead(out, hasBody ? 5 : 4);
    resp::addBulk(out, verb);
    resp::addBulk(out, customer);
    resp::addBulk(out, id);
    const auto waitMs = std::max<std::int64_t>(1, patience.count() / 1000);
    resp::addBulk(out, before + std::to_string(waitMs) + after);
    if (hasBody) resp::addBulk(out, body);
}

}  // namespace arrowstile
