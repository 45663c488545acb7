#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace arrowstile::lab {
namespace {

constexpr double kPercentileFractions[] = {0.5, 0.9, 0.99, 0.999};

/// Formats as printf does. Texts over 255 bytes are cut.
template <class... Values>
std::string formatText(const char *pattern, Values... values) {
    char text[256];
    std::snprintf(text, sizeof text, pattern, values...);
    return text;
}

/// Returns part / whole, and 0 for an empty whole.
double ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }

}  // namespace

double percentile(const std::vector<double> &sorted, double fraction) {
    if (sorted.empty()) return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

std::string intervalsCsv(const Report &report) {
    std::string text = "from,asked,served,ratio\n";
    for (const ValueTotals &interval : report.intervals)
        text += formatText("%s,%.0f,%.0f,%.4f\n", interval.name.c_str(), interval.requested, interval.served,
                           ratio(interval.served, interval.requested));
    return text;
}

std::string plainReport(const Scenario &scenario, std::uint64_t seed, const Report &report) {
    const auto printable = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::string text =
        formatText("%s, seed %llu (virtual time, simulated)\n", scenario.name.c_str(), printable(seed));
    text += formatText("service ratio %.4f\n", report.serviceRatio());
    text += formatText(
        "calls %llu (first tries %llu)  served %llu  late %llu  rate-limited %llu  errored %llu  unanswered "
        "%llu\n",
        printable(report.calls), printable(report.firstCalls), printable(report.served),
        printable(report.late), printable(report.rateLimited), printable(report.errored),
        printable(report.unanswered));
    text += formatText("units beyond quotas %.4f of those sent, refused with room %.4f of the calls\n",
                       ratio(report.unitsBeyondQuota, report.unitsSent),
                       ratio(double(report.rateLimitedWithinQuota), double(report.calls)));
    text += formatText("counter calls %llu, turned away %llu; tries %llu; events %llu\n",
                       printable(report.counterRequests), printable(report.counterRejected),
                       printable(report.triesSent), printable(report.events));
    text += formatText("most work sent to a cold node: %.3f of what would push it over\n",
                       report.maxColdLoadFraction);
    text += "latency, ms, of " + std::to_string(report.latenciesMs.size()) + ":";
    for (const double fraction : kPercentileFractions)
        text += formatText("  p%g %.1f", fraction * 100, percentile(report.latenciesMs, fraction));
    text += "\n";
    for (const auto &[label, list] : {std::pair("route", &report.routes), std::pair("plan", &report.plans),
                                      std::pair("from", &report.intervals)})
        for (const ValueTotals &totals : *list)
            text += formatText("%-5s %-12s %.4f of %.0f\n", label, totals.name.c_str(),
                               ratio(totals.served, totals.requested), totals.requested);
    for (const GroupService &group : report.groups)
        text += formatText("%-24s %.4f of what could be served\n", group.name.c_str(),
                           ratio(sum(group.served), sum(group.achievable)));
    for (const std::string &line : report.starvedGroups) text += "starved: " + line + "\n";
    text += report.ruleViolations.empty()
                ? "rules kept\n"
                : "rules broken: " + std::to_string(report.ruleViolations.size()) + "\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(report.ruleViolations.size(), 20); ++i)
        text += "  " + report.ruleViolations[i] + "\n";
    return text;
}

std::string jsonReport(const Scenario &scenario, std::uint64_t seed, const Report &report) {
    using json = nlohmann::ordered_json;
    json document{{"scenario", scenario.name},
                  {"seed", seed},
                  {"simulated", true},
                  {"service_ratio", report.serviceRatio()}};
    document["calls"] = {{"all", report.calls},
                         {"first_tries", report.firstCalls},
                         {"served", report.served},
                         {"late", report.late},
                         {"rate_limited", report.rateLimited},
                         {"errored", report.errored},
                         {"unanswered", report.unanswered}};
    document["quotas"] = {{"units_sent", report.unitsSent},
                          {"units_beyond", report.unitsBeyondQuota},
                          {"refused_with_room", report.rateLimitedWithinQuota}};
    document["counter"] = {{"calls", report.counterRequests}, {"turned_away", report.counterRejected}};
    document["tries"] = report.triesSent;
    document["events"] = report.events;
    document["cold_push"] = report.maxColdLoadFraction;
    json &latency = document["latency_ms"] = {{"count", report.latenciesMs.size()}};
    for (const double fraction : kPercentileFractions)
        latency[formatText("p%g", fraction * 100)] = percentile(report.latenciesMs, fraction);
    for (const auto &[key, list] : {std::pair("routes", &report.routes), std::pair("plans", &report.plans),
                                    std::pair("spans", &report.intervals)}) {
        json &array = document[key] = json::array();
        for (const ValueTotals &totals : *list)
            array.push_back({{"name", totals.name}, {"asked", totals.requested}, {"served", totals.served}});
    }
    json &groups = document["fared"] = json::array();
    for (const GroupService &group : report.groups)
        groups.push_back({{"group", group.name},
                          {"asked", sum(group.requested)},
                          {"could", sum(group.achievable)},
                          {"served", sum(group.served)}});
    document["starved"] = report.starvedGroups;
    document["rules_broken"] = report.ruleViolations;
    return document.dump(2) + "\n";
}

}  // namespace arrowstile::lab
