/// \file
/// Tests of the laboratory: its models of nodes and the counter, the rule and starvation checks, scenario
/// files, and whole simulated runs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <numeric>

#include "compare.hpp"
#include "model/counter.hpp"
#include "model/node.hpp"
#include "model/starvation.hpp"
#include "report.hpp"
#include "scenario.hpp"

using namespace arrowstile;
using namespace arrowstile::lab;
using std::chrono::milliseconds;

namespace {

/// Reads one of the scenarios that are shipped in examples/lab.
std::string exampleScenario(const char *name) {
    std::ifstream file(std::string(ARROWSTILE_EXAMPLES) + "/lab/" + name);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Erlang's C formula: the probability that an arrival has to wait, with `cores` cores of which `load` are
/// busy on average.
double erlangC(unsigned cores, double load) {
    double term = 1, sum = 0;
    for (unsigned k = 0; k < cores; ++k) {
        sum += term;
        term *= load / (k + 1);
    }
    const double waiting = term * cores / (cores - load);
    return waiting / (sum + waiting);
}

/// Mean and 95th percentile, in milliseconds.
struct LatencyStats {
    double mean, p95;
};

/// Measures the latency of a node under Poisson arrivals. Jobs take `meanMs` on a core, exponentially
/// distributed or all alike. `utilization` is the fraction of time in which a core is busy.
LatencyStats measureLatency(unsigned cores, double utilization, double meanMs, bool isExponential,
                            std::uint64_t jobs) {
    RandomSource random(11);
    Node node({.cores = cores, .maxQueueLength = 1000000}, {}, 11);
    std::vector<double> latenciesMs;
    std::vector<Timestamp> arrivals(jobs + 1);
    Timestamp now{};
    std::size_t rejectedCount = 0;
    for (std::uint64_t id = 1; id <= jobs; ++id) {
        now += fromMs(random.drawExponential(meanMs / (utilization * cores)));
        for (auto next = node.nextCompletion(); next && *next <= now; next = node.nextCompletion())
            for (const JobResult &result : node.takeCompleted(*next))
                latenciesMs.push_back(toMs(*next - arrivals[result.id.value]));
        arrivals[id] = now;
        const double workMs = isExponential ? random.drawExponential(meanMs) : meanMs;
        rejectedCount += node.submit(now, {JobId{id}, id, workMs, false, {}}).has_value();
    }
    CHECK(rejectedCount == 0);
    std::ranges::sort(latenciesMs);
    const double sum = std::accumulate(latenciesMs.begin(), latenciesMs.end(), 0.0);
    return {sum / double(latenciesMs.size()), percentile(latenciesMs, 0.95)};
}

}  // namespace

TEST_CASE("node: latency under load is within 10% of the M/M/c and M/D/c queueing models") {
    for (const unsigned cores : {1u, 3u}) {
        for (const double utilization : {0.2, 0.5, 0.7, 0.9}) {
            // Queue lengths are correlated over a longer time at high utilization, so that more jobs are
            // needed for the same precision.
            const std::uint64_t jobs = utilization < 0.8 ? 30000 : 400000;
            CAPTURE(cores);
            CAPTURE(utilization);
            const double mean = 100, c = cores, waitProbability = erlangC(cores, utilization * c);
            // In M/M/c the wait of a job that has to wait is exponential with this rate, per millisecond.
            const double waitRate = (1 - utilization) * c / mean;
            // Probability that the latency (waiting and running) in M/M/c is above t.
            const auto probabilityAbove = [&](double t) {
                const double rateDifference = waitRate - 1 / mean;
                const double integral = std::abs(rateDifference) < 1e-9
                                            ? t
                                            : (1 - std::exp(-rateDifference * t)) / rateDifference;
                return std::exp(-t / mean) * (1 + waitProbability / mean * integral);
            };
            double low = 0, high = 100 * mean;  // around the 95th percentile, found by bisection
            while (high - low > 0.01)
                (probabilityAbove((low + high) / 2) > 0.05 ? low : high) = (low + high) / 2;
            const LatencyStats exponential = measureLatency(cores, utilization, mean, true, jobs);
            CHECK(exponential.mean == doctest::Approx(mean + waitProbability / waitRate).epsilon(0.1));
            CHECK(exponential.p95 == doctest::Approx(low).epsilon(0.1));
            // The mean wait in M/D/c by Cosmetatos' approximation.
            const double correction =
                (1 - utilization) * (c - 1) * (std::sqrt(4 + 5 * c) - 2) / (16 * utilization * c);
            const LatencyStats constant = measureLatency(cores, utilization, mean, false, jobs);
            CHECK(constant.mean ==
                  doctest::Approx(mean + waitProbability / waitRate / 2 * (1 + correction)).epsilon(0.1));
        }
    }
}

TEST_CASE("node: rejects jobs beyond its queue or while draining, and runs no repeats of tokened calls") {
    Node node({.cores = 1, .maxQueueLength = 1}, {}, 1);
    const auto job = [](std::uint64_t id, std::uint64_t call) {
        return Job{JobId{id}, call, 100, true, milliseconds(1000)};
    };
    CHECK(!node.submit({}, job(1, 1)));
    CHECK(!node.submit({}, job(2, 1)));  // a repeat: answered, not run
    const auto third = node.submit({}, job(3, 3));
    REQUIRE(third);
    CHECK(third->outcome == JobOutcome::rejected);
    const auto completed = node.takeCompleted(milliseconds(300));
    REQUIRE(completed.size() == 2);
    CHECK(completed[0].hasRun);
    CHECK(!completed[1].hasRun);
    CHECK(!node.submit(milliseconds(300), job(4, 3)));  // its first try was rejected, so this is no repeat
    CHECK(node.takeCompleted(milliseconds(500)).at(0).hasRun);
    node.drain();
    CHECK(node.submit(milliseconds(500), job(5, 5))->outcome == JobOutcome::rejected);
}

TEST_CASE("node: a cold node crashes when the work sent to it exceeds the limit, and not below") {
    for (const bool isAboveLimit : {false, true}) {
        // The limit is 400 ms of work and a little more as the node warms up. Five jobs are sent.
        Node node({.cores = 1,
                   .coldCapacityFraction = 0.2,
                   .warmUp = milliseconds(10000),
                   .coldOverloadFactor = 2,
                   .coldOverloadWindow = milliseconds(1000)},
                  {}, 1);
        for (std::uint64_t id = 1; id <= 5; ++id)
            node.submit(milliseconds(id), {JobId{id}, id, isAboveLimit ? 100.0 : 70.0, false, {}});
        CHECK(node.hasCrashedCold() == isAboveLimit);
        CHECK((node.maxColdLoadFraction() > 1) == isAboveLimit);
    }
}

TEST_CASE(
    "counter: adds up, expires counts, rejects requests beyond its queue, and follows injected faults") {
    Counter counter({.requestsPerSecond = 100, .maxQueueLength = 2, .shardCount = 1});
    const CountName name{7};
    CHECK(counter.add({}, name, 2, milliseconds(500)).total == 2);
    CHECK(counter.add(milliseconds(100), name, 3, milliseconds(500)).total == 5);
    CHECK(counter.add(milliseconds(600), name, 1, milliseconds(500)).total == 1);  // expired at 500 ms
    for (int i = 0; i < 2; ++i) CHECK(counter.add(milliseconds(700), name, 0, milliseconds(500)).isAdded);
    CHECK(counter.add(milliseconds(700), name, 0, milliseconds(500)).isAdded);
    CHECK(!counter.add(milliseconds(700), name, 0, milliseconds(500)).isAdded);  // the queue is full
    counter.setMode(CounterMode::silent);
    CHECK(!counter.add(milliseconds(900), name, 1, milliseconds(500)).isAnswered);
    counter.setMode(CounterMode::rejecting);
    CHECK(!counter.add(milliseconds(900), name, 1, milliseconds(500)).isAdded);
    counter.setMode(CounterMode::serving);
    counter.deleteCounts();
    CHECK(counter.add(milliseconds(950), name, 1, milliseconds(500)).total == 1);
}

TEST_CASE("rule checks: each finds its violation in a trace, and none in a trace without violations") {
    using Kind = TraceEventKind;
    const Duration timeRemaining = milliseconds(1000);
    const TraceEvent received{milliseconds(0), Kind::callReceived, 1, 5, 0, timeRemaining, true};
    const auto event = [](int ms, Kind kind, std::uint64_t node = 3) {
        return TraceEvent{milliseconds(ms), kind, 1, 5, node, {}, false};
    };
    const TraceEvent sent = event(1, Kind::trySent), ran = event(40, Kind::callRun),
                     ended = event(50, Kind::tryEnded), answered = event(50, Kind::callAnswered);
    TraceEvent notReady = event(0, Kind::nodeNotReady), killed = event(30, Kind::gatewayKilled);
    notReady.call = killed.call = 0;
    struct Row {
        const char *name, *violatedRule;
        std::vector<TraceEvent> trace;
    };
    const Row rows[] = {
        {"answered once, in time", "", {received, sent, ran, ended, answered}},
        {"never answered", "answers", {received, sent, ran, ended}},
        {"never answered by a killed gateway", "", {received, sent, killed, ended}},
        {"answered twice", "answers", {received, sent, ran, ended, answered, answered}},
        {"answered too late", "answers", {received, sent, ended, event(1200, Kind::callAnswered)}},
        {"non-idempotent call ran twice",
         "effects",
         {received, sent, ran, ended, event(60, Kind::trySent), event(70, Kind::callRun),
          event(80, Kind::tryEnded), event(80, Kind::callAnswered)}},
        {"two tries at once", "one try", {received, sent, event(2, Kind::trySent, 4), ran, ended, answered}},
        {"sent to a draining node within the grace period",
         "",
         {notReady, received, event(200, Kind::trySent), event(220, Kind::tryEnded),
          event(220, Kind::callAnswered)}},
        {"sent to a draining node after the grace period",
         "drains",
         {notReady, received, event(400, Kind::trySent), event(420, Kind::tryEnded),
          event(420, Kind::callAnswered)}},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        const auto violations =
            findRuleViolations(row.trace, {milliseconds(50), milliseconds(250)}, milliseconds(9000));
        CHECK(violations.size() == (row.violatedRule[0] == 0 ? 0 : 1));
        if (!violations.empty()) CHECK(violations[0].find(row.violatedRule) == 0);
    }
}

TEST_CASE("scenario errors name the file, the line, the key and what was expected") {
    const std::string valid = exampleScenario("quiet.toml");
    CHECK(readScenario(valid, "f").nodeCount == 14);
    struct Row {
        const char *original, *replacement, *expectedError;
    };
    const Row rows[] = {
        {"nodes = 14", "nodes = \"many\"", "fleet.nodes: expected a whole number"},
        {"nodes = 14", "nodes = 0", "fleet.nodes: expected a whole number from 1"},
        {"nodes = 14", "nodez = 14", "fleet.nodez: expected no such key"},
        {"one_way_ms = 1", "one_way_ms = -1", "network.one_way_ms: expected a number"},
        {"one_way_ms = 1", "one_way_ms = nan", "network.one_way_ms: expected a number"},
        {"set = 3", "set = 4", "fleet.set: expected no more than fleet.gateways"},
        {"effect = \"tokened\"", "effect = \"keyed\"", "route.effect: expected one of idempotent"},
        {"burst = 12", "", "plan.rate: expected rate and burst"},
        {"timeout_ms = 4000\nvalue = 5", "timeout_ms = 1000",
         "route.timeout_ms: expected no less than target_ms"},
        {"name = \"quiet\"", "", "name: expected a name"},
        {"[fleet]", "[fleet", "f:4"},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.expectedError));
        std::string text = valid;
        text.replace(text.find(row.original), std::string(row.original).size(), row.replacement);
        try {
            readScenario(text, "f");
            FAIL("the scenario was accepted");
        } catch (const ScenarioError &error) {
            CAPTURE(std::string(error.what()));
            CHECK(std::string(error.what()).find("f:") == 0);
            CHECK(std::string(error.what()).find(row.expectedError) != std::string::npos);
        }
    }
    for (const char *fault :
         {"kind = \"nodes-crash\"\nat_s = 1", "kind = \"nodes-crash\"\npart = 0.01",
          "kind = \"counter-slow\"\npart = 0.5", "kind = \"flood\"", "kind = \"counter-empty\"\nat_s = 99"})
        CHECK_THROWS_AS(readScenario(valid + "\n[[fault]]\n" + fault + "\n", "f"), ScenarioError);
}

TEST_CASE("starvation check: names the starved group and the time, and skips groups with few calls") {
    const GroupService wellServed{"route a", {10, 10, 10}, {9, 9, 9}, {10, 10, 10}};
    const GroupService starved{"plan b", {10, 50, 10}, {9, 2, 9}, {10, 50, 10}};
    // Served as little as plan b, but no more was achievable.
    const GroupService limitedByNodes{"route c", {10, 50, 10}, {9, 2, 9}, {9, 3, 9}};
    const GroupService fewCalls{"route d", {1, 1, 1}, {0, 0, 0}, {1, 1, 1}};
    const auto found =
        findStarvedGroups({wellServed, starved, limitedByNodes, fewCalls}, 0.5, 20, milliseconds(1000));
    REQUIRE(found.size() == 1);
    CHECK(found[0].find("plan b: 0.286") == 0);
    CHECK(found[0].find("from 1 s") != std::string::npos);
}

TEST_CASE("a scenario with more than 1,024 gateways and nodes is read and simulated") {
    std::string text = exampleScenario("quiet.toml");
    for (const auto &[original, replacement] : {std::pair("gateways = 3", "gateways = 1100"),
                                                {"nodes = 14", "nodes = 1100"},
                                                {"seconds = 30", "seconds = 1"}})
        text.replace(text.find(original), std::string(original).size(), replacement);
    const Scenario large = readScenario(text, "f");
    CHECK(large.settings.gatewayCount == 1100);
    const Report report = simulate(large, 1);
    CHECK(report.firstCalls > 0);
    CHECK(report.ruleViolations.empty());
}

TEST_CASE("no route or plan starves while 60% of the nodes are replaced and three network faults last") {
    // The network faults are late worker lists, late connections and invalid answers.
    const std::string text = exampleScenario("join.toml");
    const Report report = simulate(readScenario(text, "f"), 1);
    CHECK(report.ruleViolations.empty());
    CHECK(report.starvedGroups.empty());
    CHECK(report.maxColdLoadFraction < 1);
    // The same scenario, shorter, with a bound that no gateway can meet: the report must list starved groups.
    std::string strict = text;
    strict.replace(strict.find("least_share = 0.4"), 17, "least_share = 1.0");
    strict.replace(strict.find("seconds = 25"), 12, "seconds = 9");
    CHECK(!simulate(readScenario(strict, "f"), 1).starvedGroups.empty());
}

TEST_CASE("shipped scenarios break no rule, and two runs give equal reports for equal seeds only") {
    for (const char *name : {"quiet.toml", "two-failures.toml", "all-slow.toml"}) {
        CAPTURE(std::string(name));
        const Scenario scenario = readScenario(exampleScenario(name), name);
        const Report first = simulate(scenario, 3), second = simulate(scenario, 3),
                     otherSeed = simulate(scenario, 4);
        CHECK(first.ruleViolations.empty());
        CHECK(first.unanswered == 0);
        CHECK(first.serviceRatio() > 0.6);
        CHECK(jsonReport(scenario, 3, first) == jsonReport(scenario, 3, second));
        CHECK(jsonReport(scenario, 3, first) != jsonReport(scenario, 3, otherSeed));
        CHECK(first.maxColdLoadFraction < 1);
    }
}

TEST_CASE("compare: half width by Student's t, and no difference between a scenario and itself") {
    const auto [mean, halfWidth] = meanWithHalfWidth({1, 2, 3, 4});
    CHECK(mean == doctest::Approx(2.5));
    CHECK(halfWidth == doctest::Approx(3.182 * 1.29099 / 2).epsilon(0.001));
    Scenario shortened = readScenario(exampleScenario("quiet.toml"), "f");
    shortened.duration = std::chrono::seconds(4);
    const Difference difference = compareScenarios(shortened, shortened, 1, 2);
    CHECK(difference.mean == 0);
    CHECK(difference.halfWidth == 0);
}
