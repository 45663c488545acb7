#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace arrowstile::lab {
namespace {

constexpr double kPercentiles[] = {0.5, 0.9, 0.99, 0.999};

template <class... Values>
std::string line(const char *form, Values... values) {
    char text[256];
    std::snprintf(text, sizeof text, form, values...);
    return text;
}

double part(double of, double all) { return all > 0 ? of / all : 0; }

}  // namespace

double percentile(const std::vector<double> &sorted, double of) {
    if (sorted.empty()) return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(of * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

std::string spansCsv(const Report &report) {
    std::string text = "from,asked,served,ratio\n";
    for (const Share &one : report.spans)
        text +=
            line("%s,%.0f,%.0f,%.4f\n", one.name.c_str(), one.asked, one.served, part(one.served, one.asked));
    return text;
}

std::string plainReport(const Scenario &scenario, std::uint64_t seed, const Report &report) {
    const auto count = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::string text = line("%s, seed %llu (virtual time, simulated)\n", scenario.name.c_str(), count(seed));
    text += line("service ratio %.4f\n", report.ratio());
    text += line(
        "calls %llu (first tries %llu)  served %llu  late %llu  rate-limited %llu  errored %llu  unanswered "
        "%llu\n",
        count(report.calls), count(report.firstTries), count(report.served), count(report.late),
        count(report.refused), count(report.errored), count(report.unanswered));
    text += line("units beyond quotas %.4f of those sent, refused with room %.4f of the calls\n",
                 part(report.unitsBeyond, report.unitsSent),
                 part(double(report.refusedWithRoom), double(report.calls)));
    text +=
        line("counter calls %llu, turned away %llu; tries %llu; events %llu\n", count(report.counterCalls),
             count(report.counterTurnedAway), count(report.triesSent), count(report.events));
    text += line("most work sent to a cold node: %.3f of what would push it over\n", report.worstPush);
    text += "latency, ms, of " + std::to_string(report.latenciesMs.size()) + ":";
    for (const double of : kPercentiles)
        text += line("  p%g %.1f", of * 100, percentile(report.latenciesMs, of));
    text += "\n";
    for (const auto &[what, shares] : {std::pair("route", &report.routes), std::pair("plan", &report.plans),
                                       std::pair("from", &report.spans)})
        for (const Share &one : *shares)
            text += line("%-5s %-12s %.4f of %.0f\n", what, one.name.c_str(), part(one.served, one.asked),
                         one.asked);
    for (const Fared &one : report.fared)
        text += line("%-24s %.4f of what could be served\n", one.group.c_str(),
                     part(sumOf(one.served), sumOf(one.could)));
    for (const std::string &one : report.starved) text += "starved: " + one + "\n";
    text += report.broken.empty() ? "rules kept\n"
                                  : "rules broken: " + std::to_string(report.broken.size()) + "\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(report.broken.size(), 20); ++i)
        text += "  " + report.broken[i] + "\n";
    return text;
}

std::string jsonReport(const Scenario &scenario, std::uint64_t seed, const Report &report) {
    using json = nlohmann::ordered_json;
    json all{
        {"scenario", scenario.name}, {"seed", seed}, {"simulated", true}, {"service_ratio", report.ratio()}};
    all["calls"] = {{"all", report.calls},
                    {"first_tries", report.firstTries},
                    {"served", report.served},
                    {"late", report.late},
                    {"rate_limited", report.refused},
                    {"errored", report.errored},
                    {"unanswered", report.unanswered}};
    all["quotas"] = {{"units_sent", report.unitsSent},
                     {"units_beyond", report.unitsBeyond},
                     {"refused_with_room", report.refusedWithRoom}};
    all["counter"] = {{"calls", report.counterCalls}, {"turned_away", report.counterTurnedAway}};
    all["tries"] = report.triesSent;
    all["events"] = report.events;
    all["cold_push"] = report.worstPush;
    json &latency = all["latency_ms"] = {{"count", report.latenciesMs.size()}};
    for (const double of : kPercentiles) latency[line("p%g", of * 100)] = percentile(report.latenciesMs, of);
    for (const auto &[what, shares] : {std::pair("routes", &report.routes), std::pair("plans", &report.plans),
                                       std::pair("spans", &report.spans)}) {
        json &list = all[what] = json::array();
        for (const Share &one : *shares)
            list.push_back({{"name", one.name}, {"asked", one.asked}, {"served", one.served}});
    }
    json &fared = all["fared"] = json::array();
    for (const Fared &one : report.fared)
        fared.push_back({{"group", one.group},
                         {"asked", sumOf(one.asked)},
                         {"could", sumOf(one.could)},
                         {"served", sumOf(one.served)}});
    all["starved"] = report.starved;
    all["rules_broken"] = report.broken;
    return all.dump(2) + "\n";
}

}  // namespace arrowstile::lab
