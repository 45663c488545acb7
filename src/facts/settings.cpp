#include "settings.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace arrowstile {
namespace {

using nlohmann::json;

/// Reads a number of milliseconds.
Duration readMilliseconds(const json &from, const char *key, double fallback = 0) {
    return Duration{std::llround(from.value(key, fallback) * 1000)};
}

/// Reads one of the given words; a missing key counts as the first of them. Throws ConfigError on any other
/// word.
template <class Enum>
Enum readEnum(const json &from, const char *key, std::initializer_list<std::pair<const char *, Enum>> words) {
    const std::string word = from.value(key, words.begin()->first);
    for (const auto &[name, meaning] : words) {
        if (word == name) {
            return meaning;
        }
    }
    throw ConfigError("settings: '" + std::string(key) + "' has the value '" + word +
                      "', which is not supported");
}

/// A column that isn't listed here is LoadMetric::other.
LoadMetric readLoadMetric(const std::string &name) {
    static constexpr std::pair<const char *, LoadMetric> known[] = {
        {"rif", LoadMetric::inFlight},        {"q", LoadMetric::queueLength},
        {"busy", LoadMetric::utilization},    {"lat_ms", LoadMetric::latencyMs},
        {"rate", LoadMetric::callsPerSecond}, {"fail_rate", LoadMetric::failuresPerSecond}};
    for (const auto &[word, meaning] : known) {
        if (name == word) {
            return meaning;
        }
    }
    return LoadMetric::other;
}

json objectOrEmpty(const json &from, const char *key) { return from.value(key, json::object()); }

Route readRoute(const json &from) {
    Route route;
    route.effect = readEnum<Effect>(
        from, "effect",
        {{"unsafe", Effect::nonIdempotent}, {"safe", Effect::idempotent}, {"keyed", Effect::tokened}});
    route.dedupScope = readEnum<DedupScope>(
        from, "keyScope",
        {{"cell", DedupScope::group}, {"all", DedupScope::all}, {"zone", DedupScope::zone}});
    route.dedupWindow = readMilliseconds(from, "dedupWindowMs");
    route.clientTimeout = Duration{std::llround(from.at("deadlineMs").get<double>() * 1000)};
    route.latencyTarget = Duration{std::llround(from.at("onTimeMs").get<double>() * 1000)};
    route.billedValue = from.value("credit", 1.0);
    route.lateShare = from.value("lateShare", 0.0);
    route.isStreamed = from.value("stream", false);
    return route;
}

Plan readPlan(const json &from) {
    Plan plan;
    plan.rate = from.value("refill", 0.0);
    plan.burst = from.value("storeSize", 0.0);
    plan.openCap = static_cast<unsigned>(std::max(0.0, from.value("open", 0.0)));
    plan.price = from.value("pays", 1.0);
    plan.extraWorth = from.value("extraWorth", 0.0);
    plan.overrunCost = from.value("overrunCost", 0.0);
    plan.ceilingRate = from.value("neverOverRate", 0.0);
    plan.ceilingBurst = from.value("capDepth", 0.0);
    plan.ceilingTolerance = from.value("tolerance", 0.0);
    return plan;
}

EngineSettings readEngineSettings(const json &all) {
    EngineSettings settings;
    settings.gatewayCount = std::max(1u, all.at("balancers").get<unsigned>());
    settings.gatewayIndex.value = all.value("rank", 0u);
    settings.zone.value = static_cast<std::uint8_t>(all.value("locality", 0u));
    for (const auto &route : all.at("classes")) {
        settings.routes.push_back(readRoute(route));
    }
    for (const auto &plan : all.value("packages", json::array())) {
        settings.plans.push_back(readPlan(plan));
    }
    const json counterInfo = objectOrEmpty(all, "familyInfo");
    settings.mayUseCounter = counterInfo.value("mayCount", false);
    settings.hasActualUnits = counterInfo.value("truedUp", false);
    settings.maxUnits = counterInfo.value("largest", 1e9);
    settings.counterTimeout = readMilliseconds(counterInfo, "countLimitMs");
    settings.counterPrice = counterInfo.value("counterPrice", 0.0);
    settings.usagePeriod = readMilliseconds(counterInfo, "usePeriodMs");
    settings.peerMessagesPerSecond = counterInfo.value("mailPerS", 0.0);

    const json permissions = objectOrEmpty(all, "permissions");
    settings.mayCancel = permissions.value("cancel", false);
    settings.mayProbe = permissions.value("mayProbe", false);
    settings.maySendPeerMessages = permissions.value("peerMessages", false);
    settings.mayDuplicate = permissions.value("mayDuplicate", false);
    settings.maySendRetryAfter = permissions.value("retryAfter", false);
    settings.maxTries = std::max(1u, permissions.value("sendCap", 1u));
    settings.maxRetryAfter = readMilliseconds(permissions, "maxRetryAfterMs");
    settings.connectTimeout = readMilliseconds(permissions, "connectTimeoutMs");

    settings.discoveryMode = readEnum<DiscoveryMode>(
        all, "registryMode", {{"pushed", DiscoveryMode::pushed}, {"on_request", DiscoveryMode::onRequest}});
    const json report = objectOrEmpty(all, "report");
    settings.loadReportMode = readEnum<LoadReportMode>(report, "how",
                                                       {{"silent", LoadReportMode::none},
                                                        {"piggyback", LoadReportMode::inReplies},
                                                        {"pull", LoadReportMode::byProbe}});
    for (const auto &column : report.value("columns", json::array())) {
        settings.loadColumns.push_back(readLoadMetric(column.get<std::string>()));
    }

    const json &rules = all.at("rules");
    settings.answerSlack = readMilliseconds(rules, "answerSlackMs");
    settings.drainGrace = readMilliseconds(rules, "drainGraceMs");
    settings.askWithin = readMilliseconds(rules, "askWithinMs");
    settings.coldCapacityFraction = rules.value("coldFrom", 1.0);
    settings.warmUp = readMilliseconds(rules, "rampTimeMs");
    settings.coldOverloadFactor = rules.value("tipMultiple", 1.0);
    settings.coldOverloadWindow = readMilliseconds(rules, "fallMs");
    settings.tickInterval = readMilliseconds(all, "tickMs", 1);
    return settings;
}

}  // namespace

Settings readSettings(std::string_view text) {
    try {
        const json all = json::parse(text);
        Settings settings;
        settings.engine = readEngineSettings(all);
        const auto readNames = [](const json &from, const char *key) {
            std::vector<std::string> names;
            for (const auto &item : from.value(key, json::array())) {
                names.push_back(item.is_object() ? item.value("name", "") : item.get<std::string>());
            }
            return names;
        };
        settings.routeNames = readNames(all, "classes");
        settings.planNames = readNames(all, "packages");
        settings.zoneNames = readNames(all, "azs");
        settings.workerTypeNames = readNames(all, "shapes");
        settings.loadColumnNames = readNames(objectOrEmpty(all, "report"), "columns");
        const json permissions = objectOrEmpty(all, "permissions");
        settings.workerIdleTimeout = readMilliseconds(permissions, "keepaliveMs");
        return settings;
    } catch (const json::exception &error) {
        throw ConfigError(std::string("settings: ") + error.what());
    }
}

}  // namespace arrowstile
