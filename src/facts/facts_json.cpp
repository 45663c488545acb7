#include "facts_json.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace arrowstile {
namespace {

using nlohmann::json;

Span milliseconds(const json &from, const char *key, double otherwise = 0) {
    return Span{std::llround(from.value(key, otherwise) * 1000)};
}

template <class Choice>
Choice choice(const json &from, const char *key,
              std::initializer_list<std::pair<const char *, Choice>> words) {
    const std::string word = from.value(key, words.begin()->first);
    for (const auto &[name, meaning] : words) {
        if (word == name) {
            return meaning;
        }
    }
    throw FactsError("settings: '" + std::string(key) + "' is '" + word + "', which is not known");
}

LoadFigure readColumn(const std::string &name) {
    static constexpr std::pair<const char *, LoadFigure> known[] = {
        {"rif", LoadFigure::inHand},     {"q", LoadFigure::waiting},
        {"busy", LoadFigure::busyShare}, {"lat_ms", LoadFigure::serviceMs},
        {"rate", LoadFigure::perSecond}, {"fail_rate", LoadFigure::failuresPerSecond}};
    for (const auto &[word, meaning] : known) {
        if (name == word) {
            return meaning;
        }
    }
    return LoadFigure::other;
}

json part(const json &from, const char *key) { return from.value(key, json::object()); }

Route readRoute(const json &from) {
    Route route;
    route.effect = choice<Effect>(
        from, "effect",
        {{"unsafe", Effect::nonIdempotent}, {"safe", Effect::idempotent}, {"keyed", Effect::tokened}});
    route.repeatScope = choice<RepeatScope>(
        from, "keyScope",
        {{"cell", RepeatScope::cell}, {"all", RepeatScope::all}, {"zone", RepeatScope::zone}});
    route.repeatWindow = milliseconds(from, "dedupWindowMs");
    route.clientTimeout = Span{std::llround(from.at("deadlineMs").get<double>() * 1000)};
    route.latencyTarget = Span{std::llround(from.at("onTimeMs").get<double>() * 1000)};
    route.billedValue = from.value("credit", 1.0);
    route.lateShare = from.value("lateShare", 0.0);
    route.streamed = from.value("stream", false);
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
    plan.ceilingSlack = from.value("tolerance", 0.0);
    return plan;
}

SiteFacts readAll(const json &all) {
    SiteFacts facts;
    facts.gateways = std::max(1u, all.at("balancers").get<unsigned>());
    facts.rank.value = all.value("rank", 0u);
    facts.zone.value = static_cast<std::uint8_t>(all.value("locality", 0u));
    for (const auto &route : all.at("classes")) {
        facts.routes.push_back(readRoute(route));
    }
    for (const auto &plan : all.value("packages", json::array())) {
        facts.plans.push_back(readPlan(plan));
    }
    const json family = part(all, "familyInfo");
    facts.mayCount = family.value("mayCount", false);
    facts.unitsSettled = family.value("truedUp", false);
    facts.mostUnits = family.value("largest", 1e9);
    facts.countTimeout = milliseconds(family, "countLimitMs");
    facts.countPrice = family.value("counterPrice", 0.0);
    facts.meterPeriod = milliseconds(family, "usePeriodMs");
    facts.peerMessagesPerSecond = family.value("mailPerS", 0.0);

    const json may = part(all, "permissions");
    facts.mayCancel = may.value("cancel", false);
    facts.mayProbe = may.value("mayProbe", false);
    facts.mayTellPeers = may.value("peerMessages", false);
    facts.mayDuplicate = may.value("mayDuplicate", false);
    facts.mayAdvise = may.value("retryAfter", false);
    facts.mostTries = std::max(1u, may.value("sendCap", 1u));
    facts.longestAdvice = milliseconds(may, "maxRetryAfterMs");
    facts.connectTimeout = milliseconds(may, "connectTimeoutMs");

    facts.listWay =
        choice<ListWay>(all, "registryMode", {{"pushed", ListWay::pushed}, {"on_request", ListWay::asked}});
    const json report = part(all, "report");
    facts.reportWay = choice<ReportWay>(
        report, "how",
        {{"silent", ReportWay::none}, {"piggyback", ReportWay::answers}, {"pull", ReportWay::probes}});
    for (const auto &column : report.value("columns", json::array())) {
        facts.loadColumns.push_back(readColumn(column.get<std::string>()));
    }

    const json &rules = all.at("rules");
    facts.answerSlack = milliseconds(rules, "answerSlackMs");
    facts.drainGrace = milliseconds(rules, "drainGraceMs");
    facts.askWithin = milliseconds(rules, "askWithinMs");
    facts.coldShare = rules.value("coldFrom", 1.0);
    facts.warmUp = milliseconds(rules, "rampTimeMs");
    facts.fallMultiple = rules.value("tipMultiple", 1.0);
    facts.fallSpan = milliseconds(rules, "fallMs");
    facts.tick = milliseconds(all, "tickMs", 1);
    return facts;
}

}  // namespace

Site readSite(std::string_view settings) {
    try {
        const json all = json::parse(settings);
        Site site;
        site.facts = readAll(all);
        const auto names = [](const json &from, const char *list) {
            std::vector<std::string> found;
            for (const auto &one : from.value(list, json::array())) {
                found.push_back(one.is_object() ? one.value("name", "") : one.get<std::string>());
            }
            return found;
        };
        site.routes = names(all, "classes");
        site.plans = names(all, "packages");
        site.zones = names(all, "azs");
        site.kinds = names(all, "shapes");
        site.loadColumns = names(part(all, "report"), "columns");
        const json may = part(all, "permissions");
        site.idleLimit = milliseconds(may, "keepaliveMs");
        site.triesPerConnection = std::max(1u, may.value("streamsPerConn", 1u));
        return site;
    } catch (const json::exception &error) {
        throw FactsError(std::string("settings: ") + error.what());
    }
}

}  // namespace arrowstile
