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

std::string shipped(const char *name) {
    std::ifstream file(std::string(ARROWSTILE_EXAMPLES) + "/lab/" + name);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Probability that an arrival waits, with c cores of which `load` are busy on average.
double erlangC(unsigned c, double load) {
    double term = 1, sum = 0;
    for (unsigned k = 0; k < c; ++k) {
        sum += term;
        term *= load / (k + 1);
    }
    const double waits = term * c / (c - load);
    return waits / (sum + waits);
}

struct Times {
    double mean, p95;
};

/// A node under Poisson arrivals of jobs that take `meanMs` on a core, exponential or all alike.
Times measured(unsigned cores, double busy, double meanMs, bool exponential, std::uint64_t jobs) {
    Chance chance(11);
    Node node({.cores = cores, .waiting = 1000000}, {}, 11);
    std::vector<double> took;
    std::vector<Timestamp> came(jobs + 1);
    Timestamp now{};
    std::size_t turnedAway = 0;
    for (std::uint64_t id = 1; id <= jobs; ++id) {
        now += fromMs(chance.exponential(meanMs / (busy * cores)));
        for (auto next = node.next(); next && *next <= now; next = node.next())
            for (const Ended &done : node.ended(*next)) took.push_back(inMs(*next - came[done.id.value]));
        came[id] = now;
        const double work = exponential ? chance.exponential(meanMs) : meanMs;
        turnedAway += node.offer(now, {JobId{id}, id, work, false, {}}).has_value();
    }
    CHECK(turnedAway == 0);
    std::ranges::sort(took);
    const double sum = std::accumulate(took.begin(), took.end(), 0.0);
    return {sum / double(took.size()), percentile(took, 0.95)};
}

}  // namespace

TEST_CASE("a node's latency under load follows M/M/c and M/D/c within a tenth") {
    for (const unsigned cores : {1u, 3u}) {
        for (const double busy : {0.2, 0.5, 0.7, 0.9}) {
            // The nearer to full, the longer a queue remembers: more jobs for the same spread.
            const std::uint64_t jobs = busy < 0.8 ? 30000 : 400000;
            CAPTURE(cores);
            CAPTURE(busy);
            const double mean = 100, c = cores, waits = erlangC(cores, busy * c);
            const double free = (1 - busy) * c / mean;  // what a wait falls with, a millisecond
            const auto beyond = [&](double t) {         // of a call's whole time, in the stated model
                const double apart = free - 1 / mean;
                const double wait = std::abs(apart) < 1e-9 ? t : (1 - std::exp(-apart * t)) / apart;
                return std::exp(-t / mean) * (1 + waits / mean * wait);
            };
            double low = 0, high = 100 * mean;
            while (high - low > 0.01) (beyond((low + high) / 2) > 0.05 ? low : high) = (low + high) / 2;
            const Times exponential = measured(cores, busy, mean, true, jobs);
            CHECK(exponential.mean == doctest::Approx(mean + waits / free).epsilon(0.1));
            CHECK(exponential.p95 == doctest::Approx(low).epsilon(0.1));
            // M/D/c by Cosmetatos' approximation of its mean wait.
            const double more = (1 - busy) * (c - 1) * (std::sqrt(4 + 5 * c) - 2) / (16 * busy * c);
            const Times alike = measured(cores, busy, mean, false, jobs);
            CHECK(alike.mean == doctest::Approx(mean + waits / free / 2 * (1 + more)).epsilon(0.1));
        }
    }
}

TEST_CASE("a node turns away what it has no room for, drops repeats of a token, and ends what it holds") {
    Node node({.cores = 1, .waiting = 1}, {}, 1);
    const auto job = [](std::uint64_t id, std::uint64_t call) {
        return Job{JobId{id}, call, 100, true, milliseconds(1000)};
    };
    CHECK(!node.offer({}, job(1, 1)));
    CHECK(!node.offer({}, job(2, 1)));  // a repeat: answered, not run
    const auto third = node.offer({}, job(3, 3));
    REQUIRE(third);
    CHECK(third->fate == Fate::turnedAway);
    const auto ended = node.ended(milliseconds(300));
    REQUIRE(ended.size() == 2);
    CHECK(ended[0].ran);
    CHECK(!ended[1].ran);
    CHECK(!node.offer(milliseconds(300), job(4, 3)));  // turned away unseen, so it runs now
    CHECK(node.ended(milliseconds(500)).at(0).ran);
    node.drain();
    CHECK(node.offer(milliseconds(500), job(5, 5))->fate == Fate::turnedAway);
}

TEST_CASE("a cold node falls over under more than it can do, and only then") {
    for (const bool much : {false, true}) {
        Node node({.cores = 1,
                   .coldShare = 0.2,
                   .warmUp = milliseconds(10000),
                   .fallMultiple = 2,
                   .fallSpan = milliseconds(1000)},
                  {}, 1);
        for (std::uint64_t id = 1; id <= 5; ++id)
            node.offer(milliseconds(id), {JobId{id}, id, much ? 100.0 : 70.0, false, {}});
        CHECK(node.fell() == much);
        CHECK((node.worstPush() > 1) == much);
    }
}

TEST_CASE("the counter: totals, life of names, its line, and what may become of it") {
    Counter counter({.perSecond = 100, .waiting = 2, .parts = 1});
    const CountName name{7};
    CHECK(counter.add({}, name, 2, milliseconds(500)).total == 2);
    CHECK(counter.add(milliseconds(100), name, 3, milliseconds(500)).total == 5);
    CHECK(counter.add(milliseconds(600), name, 1, milliseconds(500)).total == 1);  // forgotten meanwhile
    for (int i = 0; i < 2; ++i) CHECK(counter.add(milliseconds(700), name, 0, milliseconds(500)).added);
    CHECK(counter.add(milliseconds(700), name, 0, milliseconds(500)).added);
    CHECK(!counter.add(milliseconds(700), name, 0, milliseconds(500)).added);  // its line is full
    counter.way(CounterWay::silent);
    CHECK(!counter.add(milliseconds(900), name, 1, milliseconds(500)).answered);
    counter.way(CounterWay::refuses);
    CHECK(!counter.add(milliseconds(900), name, 1, milliseconds(500)).added);
    counter.way(CounterWay::serves);
    counter.empty();
    CHECK(counter.add(milliseconds(950), name, 1, milliseconds(500)).total == 1);
}

TEST_CASE("each rule's checker names a planted breach, and nothing on a sound record") {
    const Duration patience = milliseconds(1000);
    const Line taken{milliseconds(0), Step::taken, 1, 5, 0, patience, true};
    const auto line = [](int ms, Step step, std::uint64_t node = 3) {
        return Line{milliseconds(ms), step, 1, 5, node, {}, false};
    };
    const Line sent = line(1, Step::sent), ran = line(40, Step::ran), ended = line(50, Step::tryEnded),
               answered = line(50, Step::answered);
    Line told = line(0, Step::told), died = line(30, Step::gatewayDied);
    told.call = died.call = 0;
    struct Row {
        const char *name, *broken;
        std::vector<Line> record;
    };
    const Row rows[] = {
        {"sound", "", {taken, sent, ran, ended, answered}},
        {"no answer", "answers", {taken, sent, ran, ended}},
        {"no answer of one that died", "", {taken, sent, died, ended}},
        {"answered twice", "answers", {taken, sent, ran, ended, answered, answered}},
        {"late", "answers", {taken, sent, ended, line(1200, Step::answered)}},
        {"ran twice",
         "effects",
         {taken, sent, ran, ended, line(60, Step::sent), line(70, Step::ran), line(80, Step::tryEnded),
          line(80, Step::answered)}},
        {"two tries at once", "one try", {taken, sent, line(2, Step::sent, 4), ran, ended, answered}},
        {"within the grace",
         "",
         {told, taken, line(200, Step::sent), line(220, Step::tryEnded), line(220, Step::answered)}},
        {"sent to a drain",
         "drains",
         {told, taken, line(400, Step::sent), line(420, Step::tryEnded), line(420, Step::answered)}},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        const auto broken =
            brokenRules(row.record, {milliseconds(50), milliseconds(250)}, milliseconds(9000));
        CHECK(broken.size() == (row.broken[0] == 0 ? 0 : 1));
        if (!broken.empty()) CHECK(broken[0].find(row.broken) == 0);
    }
}

TEST_CASE("a scenario is checked whole: file, line, key and what was expected") {
    const std::string good = shipped("quiet.toml");
    CHECK(readScenario(good, "f").nodes == 14);
    struct Row {
        const char *from, *to, *says;
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
        CAPTURE(std::string(row.says));
        std::string text = good;
        text.replace(text.find(row.from), std::string(row.from).size(), row.to);
        try {
            readScenario(text, "f");
            FAIL("was taken");
        } catch (const ScenarioError &error) {
            CAPTURE(std::string(error.what()));
            CHECK(std::string(error.what()).find("f:") == 0);
            CHECK(std::string(error.what()).find(row.says) != std::string::npos);
        }
    }
    for (const char *fault :
         {"kind = \"nodes-crash\"\nat_s = 1", "kind = \"nodes-crash\"\npart = 0.01",
          "kind = \"counter-slow\"\npart = 0.5", "kind = \"flood\"", "kind = \"counter-empty\"\nat_s = 99"})
        CHECK_THROWS_AS(readScenario(good + "\n[[fault]]\n" + fault + "\n", "f"), ScenarioError);
}

TEST_CASE("the checker for starvation names group and time, and leaves out what is too rare to tell") {
    const Fared fine{"route a", {10, 10, 10}, {9, 9, 9}, {10, 10, 10}};
    const Fared hungry{"plan b", {10, 50, 10}, {9, 2, 9}, {10, 50, 10}};
    const Fared scarce{"route c", {10, 50, 10}, {9, 2, 9}, {9, 3, 9}};  // nobody could have served more
    const Fared rare{"route d", {1, 1, 1}, {0, 0, 0}, {1, 1, 1}};
    const auto found = starved({fine, hungry, scarce, rare}, 0.5, 20, milliseconds(1000));
    REQUIRE(found.size() == 1);
    CHECK(found[0].find("plan b: 0.286") == 0);
    CHECK(found[0].find("from 1 s") != std::string::npos);
}

TEST_CASE("lists of gateways and nodes are read past 1,024, and a run of them starts") {
    std::string text = shipped("quiet.toml");
    for (const auto &[from, to] : {std::pair("gateways = 3", "gateways = 1100"),
                                   {"nodes = 14", "nodes = 1100"},
                                   {"seconds = 30", "seconds = 1"}})
        text.replace(text.find(from), std::string(from).size(), to);
    const Scenario large = readScenario(text, "f");
    CHECK(large.facts.gatewayCount == 1100);
    const Report report = play(large, 1);
    CHECK(report.firstTries > 0);
    CHECK(report.broken.empty());
}

TEST_CASE("six in ten nodes replaced, lists and connections late, answers spoilt: no route or plan starves") {
    const std::string text = shipped("join.toml");
    const Report report = play(readScenario(text, "f"), 1);
    CHECK(report.broken.empty());
    CHECK(report.starved.empty());
    CHECK(report.worstPush < 1);
    std::string strict = text;  // the same run, asked for more than can be: it must be said
    strict.replace(strict.find("least_share = 0.4"), 17, "least_share = 1.0");
    strict.replace(strict.find("seconds = 25"), 12, "seconds = 9");
    CHECK(!play(readScenario(strict, "f"), 1).starved.empty());
}

TEST_CASE("shipped scenarios keep the rules, and one seed gives one report") {
    for (const char *name : {"quiet.toml", "two-failures.toml", "all-slow.toml"}) {
        CAPTURE(std::string(name));
        const Scenario scenario = readScenario(shipped(name), name);
        const Report first = play(scenario, 3), second = play(scenario, 3), other = play(scenario, 4);
        CHECK(first.broken.empty());
        CHECK(first.unanswered == 0);
        CHECK(first.ratio() > 0.6);
        CHECK(jsonReport(scenario, 3, first) == jsonReport(scenario, 3, second));
        CHECK(jsonReport(scenario, 3, first) != jsonReport(scenario, 3, other));
        CHECK(first.worstPush < 1);
    }
}

TEST_CASE("paired seeds: a scenario equals itself, and an interval by Student's t") {
    const auto [mean, half] = meanWithin({1, 2, 3, 4});
    CHECK(mean == doctest::Approx(2.5));
    CHECK(half == doctest::Approx(3.182 * 1.29099 / 2).epsilon(0.001));
    Scenario small = readScenario(shipped("quiet.toml"), "f");
    small.length = std::chrono::seconds(4);
    const Difference same = comparePairs(small, small, 1, 2);
    CHECK(same.mean == 0);
    CHECK(same.halfWidth == 0);
}
