#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <cstdlib>
#include <map>
#include <new>

#include "engine_test_helpers.hpp"

using namespace arrowstile;
using namespace arrowstile::test;

namespace {
long liveAllocations = 0;  // allocations that are not given back
}

void *operator new(std::size_t size) {
    ++liveAllocations;
    if (void *made = std::malloc(size)) return made;
    throw std::bad_alloc();
}
void *operator new(std::size_t size, const std::nothrow_t &) noexcept {
    ++liveAllocations;
    return std::malloc(size);
}
void operator delete(void *gone) noexcept {
    liveAllocations -= gone != nullptr;
    std::free(gone);
}
void operator delete(void *gone, std::size_t) noexcept { operator delete(gone); }

TEST_CASE("on a long day nothing grows with the customers, calls and workers that were there once") {
    EngineHarness harness;
    harness.setWorkerCount(4);
    long early = 0;
    for (std::uint64_t id = 1; id <= 12000; ++id) {
        CallReceived received;
        received.call = {id};
        received.plan.value = static_cast<std::uint16_t>(id % 4);
        received.customer = {1000 + id};
        received.timeRemaining = milliseconds(4000);
        const auto sent = harness.handle(received).actionsOf<SendTry>();
        harness.endCounterRequests(Outcome::answered, 1);
        for (const SendTry &to : sent) {
            harness.endTry(id, 0, to.worker, Outcome::answered, true)
                .endCounterRequests(Outcome::answered, 0);
        }
        const unsigned place = static_cast<unsigned>(id);
        const WorkerEntry come = EngineHarness::workerEntry(100 + place),
                          gone = EngineHarness::workerEntry(99 + place, WorkerState::gone);
        if (id % 10 == 0) harness.updateWorkers({come, gone}, WorkerListKind::delta);
        if (id % 10 == 1) harness.updateWorkers({gone}, WorkerListKind::delta);
        harness.now += milliseconds(7);
        if (id % 2 == 0) harness.handle(TimerFired{TimerToken{1}}).endCounterRequests(Outcome::answered, 0);
        harness.actions = {};
        if (id == 10000) early = liveAllocations;  // 70 s: more than any of them is kept
    }
    CHECK(liveAllocations < early + early / 10);
    CHECK(early < 150000);
}

TEST_CASE("while the counter takes less than is passed, the counts that wait don't pile up") {
    EngineHarness harness;
    harness.setWorkerCount(40);
    long early = 0;
    for (std::uint64_t id = 1; id <= 9000; ++id) {
        CallReceived received;
        received.call = {id};
        received.plan.value = static_cast<std::uint16_t>(1 + id % 2);
        received.customer = {1000 + id};
        received.timeRemaining = milliseconds(4000);
        const auto sent = harness.handle(received).actionsOf<SendTry>();
        harness.endCounterRequests(Outcome::overloaded, 0);
        for (const SendTry &to : sent)
            harness.endTry(id, 0, to.worker, Outcome::answered, true)
                .endCounterRequests(Outcome::overloaded, 0);
        harness.now += milliseconds(10);
        harness.handle(TimerFired{TimerToken{1}}).endCounterRequests(Outcome::overloaded, 0);
        harness.actions = {};
        if (id == 6000) early = liveAllocations;  // 60 s: more than a window or an epoch, twice
    }
    CHECK(liveAllocations < early + early / 10);
}

TEST_CASE("in a large set a customer not heard of waits for the counter's totals once") {
    struct Row {
        const char *name;
        unsigned gateways, plan;
        Outcome outcome;
        double current, previous;
        bool held, passes;
    };
    const Row rows[] = {
        {"small set: the cache decides at once", 3, 1, Outcome::answered, 0, 0, false, true},
        {"room in both windows", 200, 1, Outcome::answered, 3, 4, true, true},
        {"this window is full", 200, 1, Outcome::answered, 22, 0, true, false},
        {"the last one was full, this one is young", 200, 1, Outcome::answered, 4, 200, true, false},
        {"the counter turns the call away", 200, 1, Outcome::overloaded, 0, 0, true, true},
        {"open cap, room", 200, 2, Outcome::answered, 1, 0, true, true},
        {"open cap, full", 200, 2, Outcome::answered, 3, 0, true, false},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        EngineSettings settings = testEngineSettings();
        settings.gatewayCount = row.gateways;
        EngineHarness harness(settings);
        harness.setWorkerCount(12);
        CallReceived received;
        received.call = {1};
        received.customer = {9};
        received.plan.value = static_cast<std::uint16_t>(row.plan);
        received.gatewaySubsetSize = row.gateways;
        received.timeRemaining = milliseconds(4000);
        harness.handle(received);
        CHECK(harness.actionsOf<SendTry>().size() + harness.finalAnswerCount() == (row.held ? 0 : 1));
        if (!row.held) continue;
        const auto asked = harness.actionsOf<AddToCount>();
        REQUIRE(asked.size() >= 1);
        std::size_t sent = 0, refused = 0;
        for (const AddToCount &add : asked) {
            const double total = add.amount > 0 ? row.current : row.previous;
            harness.handle(AddToCountEnded{add.name, row.outcome, total, milliseconds(2)});
            sent += harness.actionsOf<SendTry>().size();
            refused += harness.actionsOf<AnswerRateLimited>().size();
        }
        CHECK(sent == (row.passes ? 1 : 0));
        CHECK(refused == (row.passes ? 0 : 1));
    }
}

TEST_CASE("each of many gateways sees within two seconds that the counter is back") {
    EngineSettings settings = testEngineSettings();
    settings.gatewayCount = 300;
    EngineHarness harness(settings);
    harness.setWorkerCount(12);
    std::uint64_t id = 0;
    std::size_t calls = 0;
    const auto second = [&](Outcome outcome) {
        calls = 0;
        for (int i = 0; i < 20; ++i) {
            CallReceived received;
            received.call = {++id};
            received.customer = {id};
            received.plan.value = 1;
            received.gatewaySubsetSize = 2;
            received.timeRemaining = milliseconds(4000);
            const auto sent = harness.handle(received).actionsOf<SendTry>();
            calls += harness.actionsOf<AddToCount>().size();
            harness.endCounterRequests(outcome, 1);
            for (const SendTry &to : sent) harness.endTry(id, 0, to.worker, Outcome::answered, true);
            harness.advance(milliseconds(50));
            calls += harness.actionsOf<AddToCount>().size();
            harness.endCounterRequests(outcome, 1);
        }
    };
    for (int i = 0; i < 6; ++i) second(Outcome::timedOut);
    CHECK(calls <= 2);  // a second; all of them no more than the counter takes
    for (int i = 0; i < 2; ++i) second(Outcome::answered);
    CHECK(calls >= 5);
}

TEST_CASE("a call that waits for totals is decided though the counter never answers") {
    EngineSettings settings = testEngineSettings();
    settings.gatewayCount = 200;
    EngineHarness harness(settings);
    harness.setWorkerCount(12);
    CallReceived received;
    received.call = {1};
    received.customer = {9};
    received.plan.value = 1;
    received.gatewaySubsetSize = 200;
    received.timeRemaining = milliseconds(4000);
    CHECK(harness.handle(received).actionsOf<SendTry>().empty());
    harness.advance(2 * settings.counterTimeout + milliseconds(20));
    CHECK(harness.actionsOf<SendTry>().size() + harness.finalAnswerCount() == 1);
}

TEST_CASE("a refused client is told to come back within the latency target of its route") {
    struct Row {
        const char *name;
        unsigned plan;
        Duration target, most;
    };
    const Row rows[] = {{"quota used up", 1, milliseconds(900), milliseconds(300)},
                        {"open cap full", 2, milliseconds(300), milliseconds(100)},
                        {"ceiling reached", 3, milliseconds(600), milliseconds(200)},
                        {"no worker", 0, milliseconds(600), milliseconds(200)},
                        {"a long target", 1, milliseconds(60000), milliseconds(1000)}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineSettings settings = testEngineSettings();
        for (Route &route : settings.routes) route.latencyTarget = row.target;
        EngineHarness harness(settings);
        harness.setWorkerCount(row.plan == 0 ? 0 : 12);
        std::size_t refused = 0;
        for (std::uint64_t id = 1; id < 60; ++id) {
            for (const AnswerRateLimited &limit :
                 harness.receiveCall(id, 0, row.plan, 6).actionsOf<AnswerRateLimited>()) {
                ++refused;
                CHECK(limit.retryAfter <= row.most);
                CHECK(limit.retryAfter >= row.most / 2 - milliseconds(1));
            }
        }
        CHECK(refused > 20);
    }
}

TEST_CASE("what no worker has seen is given up in the first half of its time, at once") {
    for (const bool early : {true, false}) {
        EngineHarness harness;
        harness.setWorkerCount(3).receiveCall(1, 0, 0, 1, milliseconds(600));
        const WorkerId worker = harness.actionsOf<SendTry>().at(0).worker;
        harness.now += milliseconds(early ? 250 : 310);
        harness.endTry(1, 0, worker, Outcome::connectFailed);
        CHECK(harness.actionsOf<SendTry>().size() == (early ? 1 : 0));
        CHECK(harness.finalAnswerCount() == (early ? 0 : 1));
    }
}

TEST_CASE("short of calls to the counter, the customer nearest to its quota is reported first") {
    EngineSettings settings = testEngineSettings();
    settings.plans[0] = {.rate = 5, .burst = 2000};
    EngineHarness harness(settings);
    harness.setWorkerCount(12);
    std::uint64_t id = 0;
    const auto call = [&](std::uint64_t customer, unsigned plan) {
        CallReceived received;
        received.call = {++id};
        received.customer = {customer};
        received.plan.value = static_cast<std::uint16_t>(plan);
        received.timeRemaining = milliseconds(4000);
        const auto adds = harness.handle(received).actionsOf<AddToCount>().size();
        const auto sent = harness.actionsOf<SendTry>();
        REQUIRE(sent.size() == 1);
        harness.endTry(id, 0, sent[0].worker, Outcome::answered, true);
        return adds;
    };
    for (std::uint64_t customer = 100; call(customer, 0) > 0; ++customer) REQUIRE(customer < 200);
    for (int more = 0; more < 10; ++more) call(300 + static_cast<std::uint64_t>(more), 0);
    for (int more = 0; more < 12; ++more) CHECK(call(7, 1) == 0);
    harness.advance(
        milliseconds(10));  // gives a call or two: the one whose store is half spent has the first
    const auto adds = harness.actionsOf<AddToCount>();
    REQUIRE(adds.size() > 0);
    CHECK(adds[0].amount == 12);
    CHECK(call(400, 0) == 0);  // with others in line nobody passes them
}

TEST_CASE("an API call that no try may have run is tried again, else only as its route allows") {
    struct Row {
        const char *name;
        unsigned route;
        Outcome outcome;
        bool again, rateLimited, errored;
    };
    const Row rows[] = {
        {"idempotent after an error", 0, Outcome::errored, true, false, false},
        {"tokened after a reset", 1, Outcome::reset, true, false, false},
        {"non-idempotent after an error", 2, Outcome::errored, false, false, true},
        {"non-idempotent after a reset", 2, Outcome::reset, false, false, true},
        {"non-idempotent after a time-out", 2, Outcome::timedOut, false, false, true},
        {"non-idempotent turned back unseen", 2, Outcome::overloaded, true, false, false},
        {"non-idempotent never connected", 2, Outcome::connectFailed, true, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(3).receiveCall(1, row.route);
        REQUIRE(harness.actionsOf<SendTry>().size() == 1);
        const WorkerId first = harness.actionsOf<SendTry>()[0].worker;
        harness.now += milliseconds(20);
        harness.endTry(1, 0, first, row.outcome);
        CHECK(harness.actionsOf<SendTry>().size() == (row.again ? 1 : 0));
        CHECK(harness.actionsOf<AnswerRateLimited>().size() == (row.rateLimited ? 1 : 0));
        CHECK(harness.actionsOf<AnswerErrored>().size() == (row.errored ? 1 : 0));
        if (row.again) CHECK(harness.actionsOf<SendTry>()[0].worker != first);
        CHECK(harness.endTry(1, 0, first, row.outcome).finalAnswerCount() +
                  harness.actionsOf<SendTry>().size() <=
              1);  // a repeat
    }
}

TEST_CASE("each API call gets exactly one final answer whatever becomes of its workers") {
    struct Row {
        const char *name;
        unsigned workers, route;
        Duration left, ended;
    };
    const Row rows[] = {
        {"no worker", 0, 0, milliseconds(4000), {}},
        {"one worker that times out", 1, 0, milliseconds(300), milliseconds(300)},
        {"a very short client timeout", 1, 0, milliseconds(1), milliseconds(4)},
        {"tokened past its repeat window", 2, 1, milliseconds(3000), milliseconds(2990)},
        {"non-idempotent", 2, 2, milliseconds(500), milliseconds(500)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(row.workers).receiveCall(1, row.route, 0, 1, row.left);
        std::size_t finals = harness.finalAnswerCount();
        if (const auto sent = harness.actionsOf<SendTry>(); !sent.empty()) {
            CHECK(sent[0].deadline <= harness.now + row.left);
            harness.now += row.ended;
            harness.endTry(1, 0, sent[0].worker, Outcome::timedOut);
            finals += harness.finalAnswerCount();
        }
        finals += harness.advance(milliseconds(5000)).finalAnswerCount();
        CHECK(finals == 1);
    }
}

TEST_CASE("events for what is not held are passed over") {
    EngineHarness harness;
    harness.setWorkerCount(1);
    const Event strays[] = {CallAbandoned{{5}},
                            TryEnded{{5}, {0}, {77}, Outcome::answered},
                            AddToCountEnded{{3}},
                            TimerFired{{99}},
                            ProbeEnded{{77}},
                            PeerMessageReceived{},
                            TryStreamStarted{{5}, {0}, {77}},
                            WorkerListUpdated{WorkerListKind::failed, 2, {}}};
    for (const Event &stray : strays) {
        CAPTURE(stray.index());
        CHECK(harness.handle(stray).actions.empty());
    }
    CHECK(harness.receiveCall(1, 200).finalAnswerCount() == 1);  // a route that is in no table
    CHECK(harness.receiveCall(2, 0, 200).actionsOf<SendTry>().size() ==
          1);  // a plan that is in none has no limits
    CHECK(harness.handle(CallAbandoned{{2}}).actionsOf<CancelTry>().size() == 1);
    CHECK(harness.endTry(2, 0, {1}, Outcome::cancelled).finalAnswerCount() == 0);
}

TEST_CASE("a worker that drains, is gone or falls out of the list gets nothing new") {
    struct Row {
        const char *name;
        std::vector<WorkerEntry> news;
        WorkerListKind how;
    };
    const Row rows[] = {
        {"draining", {EngineHarness::workerEntry(1, WorkerState::draining)}, WorkerListKind::delta},
        {"gone", {EngineHarness::workerEntry(1, WorkerState::gone)}, WorkerListKind::delta},
        {"not in the whole list", {EngineHarness::workerEntry(2)}, WorkerListKind::snapshot},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(2).updateWorkers(row.news, row.how);
        for (unsigned i = 1; i <= 6; ++i) {
            for (const SendTry &sent : harness.receiveCall(i).actionsOf<SendTry>())
                CHECK(sent.worker == WorkerId{2});
        }
    }
}

TEST_CASE("quota: the share before the first reply, totals after it, own sends counted once") {
    struct Row {
        const char *name;
        Outcome outcome;
        double othersBefore;
        unsigned passes;  // of calls of 2 units that follow a first of 4, burst 20, two gateways
    };
    const Row rows[] = {
        {"no reply yet: half of the limit", Outcome::notSent, 0, 3},
        {"nobody else: the whole burst", Outcome::answered, 0, 8},
        {"others took ten", Outcome::answered, 10, 3},
        {"others took all", Outcome::answered, 16, 0},
        {"turned away: the share", Outcome::overloaded, 0, 3},
        {"no connection: the share", Outcome::connectFailed, 0, 3},
        {"fate unknown: the share", Outcome::timedOut, 0, 3},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(12).receiveCall(1, 0, 1, 4);
        REQUIRE(harness.actionsOf<AddToCount>().size() == 1);
        const AddToCount add = harness.actionsOf<AddToCount>()[0];
        CHECK(add.amount == 4);
        if (row.outcome != Outcome::notSent) {
            harness.handle(AddToCountEnded{add.name, row.outcome, row.othersBefore + 4, milliseconds(2)});
        }
        unsigned passes = 0;
        for (unsigned i = 2; i < 14; ++i)
            passes += harness.receiveCall(i, 0, 1, 2).actionsOf<SendTry>().size();
        CHECK(passes == row.passes);
        CHECK(harness.actionsOf<AnswerRateLimited>().size() == 1);
        CHECK(harness.actionsOf<AnswerRateLimited>()[0].retryAfter.has_value());
        CHECK(*harness.actionsOf<AnswerRateLimited>()[0].retryAfter <= milliseconds(1000));
    }
}

TEST_CASE("counts lost by the counter go on counting here") {
    EngineHarness harness;
    harness.setWorkerCount(12).receiveCall(1, 0, 1, 16);
    const CountName name = harness.actionsOf<AddToCount>()[0].name;
    harness.handle(AddToCountEnded{name, Outcome::answered, 16, milliseconds(2)}).receiveCall(2, 0, 1, 2);
    harness.handle(AddToCountEnded{name, Outcome::answered, 2, milliseconds(2)});  // back empty
    CHECK(harness.receiveCall(3, 0, 1, 4).actionsOf<AnswerRateLimited>().size() == 1);
}

TEST_CASE("a silent or refusing counter is called ever less, and no pass goes unreported") {
    for (const Outcome outcome : {Outcome::timedOut, Outcome::connectFailed, Outcome::overloaded}) {
        CAPTURE(static_cast<int>(outcome));
        EngineHarness harness;
        harness.setWorkerCount(12).receiveCall(1, 0, 1, 1);
        std::size_t late = 0;
        double added = 0;
        for (unsigned i = 0; i < 300; ++i) {
            for (const AddToCount &add : harness.actionsOf<AddToCount>()) {
                late += i > 200;
                added = add.amount;
                harness.handle(AddToCountEnded{add.name, outcome, 0, milliseconds(5)});
            }
            harness.advance(milliseconds(10));
        }
        CHECK(late <= 20);
        if (outcome != Outcome::timedOut) CHECK(added == 1);
    }
}

TEST_CASE("an open cap holds: from the cache, by the counted answer once full, by the share without one") {
    EngineHarness harness;
    harness.setWorkerCount(12);
    for (unsigned id : {1, 2})
        CHECK(harness.receiveCall(id, 0, 2)
                  .endCounterRequests(Outcome::answered, id)
                  .actionsOf<SendTry>()
                  .size() == 1);
    CHECK(harness.receiveCall(3, 0, 2).actionsOf<AnswerRateLimited>().size() == 1);  // two are out
    for (unsigned id : {1, 2})
        harness.endTry(id, 0, {id}, Outcome::answered, true).endCounterRequests(Outcome::answered, 2 - id);

    struct Row {
        const char *name;
        Outcome outcome;
        double total;
        bool passes;
    };
    const Row rows[] = {
        {"room", Outcome::answered, 1, true},
        {"full of others' tries", Outcome::answered, 3, false},
        {"no answer: the share of one", Outcome::timedOut, 0, true},
    };
    unsigned id = 10;
    for (const Row &row : rows) {
        CAPTURE(row.name);
        harness.advance(milliseconds(200)).endCounterRequests(Outcome::answered, 0).receiveCall(++id, 0, 2);
        CHECK(harness.finalAnswerCount() + harness.actionsOf<SendTry>().size() == 0);  // held for the answer
        REQUIRE(harness.actionsOf<AddToCount>().size() == 1);
        harness.handle(AddToCountEnded{harness.actionsOf<AddToCount>()[0].name, row.outcome, row.total,
                                       milliseconds(2)});
        const auto sent = harness.actionsOf<SendTry>();
        CHECK(sent.size() == (row.passes ? 1 : 0));
        CHECK(harness.finalAnswerCount() == (row.passes ? 0 : 1));
        harness.endCounterRequests(Outcome::answered, row.passes ? 1 : 0);
        if (row.passes)
            harness.endTry(id, 0, sent[0].worker, Outcome::answered, true)
                .endCounterRequests(Outcome::answered, 0);
    }
}

TEST_CASE("a held API call is decided though the counter never answers") {
    EngineHarness harness;
    harness.setWorkerCount(12).receiveCall(1, 0, 2).receiveCall(2, 0, 2).receiveCall(3, 0, 2);
    harness.endTry(1, 0, {1}, Outcome::answered, true);
    harness.receiveCall(4, 0, 2);
    const std::size_t at_once = harness.finalAnswerCount() + harness.actionsOf<SendTry>().size();
    harness.advance(milliseconds(150));
    CHECK(at_once + harness.finalAnswerCount() + harness.actionsOf<SendTry>().size() == 1);
}

TEST_CASE("a ceiling is shared evenly and a restart does not refill the share") {
    struct Row {
        const char *name;
        Duration waited;
        unsigned most;
    };
    const Row rows[] = {{"just started", {}, 0},
                        {"after a second", milliseconds(1000), 5},
                        {"after long", milliseconds(60000), 10}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(12);
        harness.now += row.waited;
        unsigned passes = 0;
        for (unsigned i = 1; i < 30; ++i) passes += harness.receiveCall(i, 0, 3).actionsOf<SendTry>().size();
        CHECK(passes == row.most);
    }
}

TEST_CASE("a cold worker gets a bounded share of tries at once, more as it warms") {
    unsigned before = 0;
    for (const int age : {0, 5000, 9000}) {
        CAPTURE(age);
        EngineHarness harness;
        harness.now = milliseconds(20000);
        harness.updateWorkers({EngineHarness::workerEntry(1, WorkerState::ready,
                                                          harness.now - milliseconds(age) - Duration{1})});
        unsigned passes = 0;
        for (unsigned i = 1; i < 30; ++i) passes += harness.receiveCall(i).actionsOf<SendTry>().size();
        CHECK(passes >= std::max(1u, before));
        CHECK(passes <= 4);
        before = passes;
    }
}

TEST_CASE("a worker whose silence is unusual goes last, but not when all are silent") {
    for (const bool others : {true, false}) {
        CAPTURE(others);
        EngineHarness harness;
        harness.setWorkerCount(4);
        std::uint64_t id = 1;
        for (int round = 0; round < 40; ++round) {
            std::map<std::uint64_t, WorkerId> busy;
            for (int i = 0; i < 4; ++i, ++id)
                busy[id] = harness.receiveCall(id).actionsOf<SendTry>().at(0).worker;
            harness.advance(milliseconds(20));
            for (const auto &[call, worker] : busy) harness.endTry(call, 0, worker, Outcome::answered, true);
        }
        std::map<WorkerId, std::uint64_t> out;
        for (; out.size() < 4; ++id)
            out.emplace(harness.receiveCall(id).actionsOf<SendTry>().at(0).worker, id);
        harness.advance(milliseconds(200));
        std::map<WorkerId, unsigned> more;
        for (const auto &[worker, call] : out) {
            if (others && worker != WorkerId{1}) harness.endTry(call, 0, worker, Outcome::answered, true);
        }
        harness.advance(milliseconds(10));
        for (int i = others ? 1 : 0; i < 4; ++i, ++id)
            ++more[harness.receiveCall(id).actionsOf<SendTry>().at(0).worker];
        CHECK(more[WorkerId{1}] == (others ? 0 : 1));
    }
}

TEST_CASE("a worker that fails one route keeps the others") {
    EngineHarness harness;
    harness.setWorkerCount(4);
    std::map<unsigned, unsigned> late;  // non-idempotent and idempotent calls to the first worker, at the end
    for (std::uint64_t id = 1; id < 600; ++id) {
        const unsigned route = id % 2 == 0 ? 2 : 0;
        for (const SendTry &to : harness.receiveCall(id, route).actionsOf<SendTry>()) {
            const bool bad = route == 2 && to.worker == WorkerId{1};
            if (id > 400 && to.worker == WorkerId{1}) ++late[route];
            harness.advance(milliseconds(10))
                .endTry(id, 0, to.worker, bad ? Outcome::errored : Outcome::answered, !bad);
        }
    }
    CHECK(late[2] == 0);
    CHECK(late[0] > 0);
}

TEST_CASE("many gateways take turns at a cold worker, and spread over the workers from their first call") {
    struct Row {
        const char *name;
        unsigned workers;
        Timestamp startedAt;
        std::size_t least, most;  // gateways of a hundred that send their first call to the busiest worker
    };
    const Row rows[] = {{"one cold worker", 1, milliseconds(900), 1, 2},
                        {"one warm worker", 1, {}, 100, 100},
                        {"twenty warm workers", 20, {}, 5, 14}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::map<WorkerId, std::size_t> sent;
        for (unsigned rank = 0; rank < 100; ++rank) {
            EngineSettings settings = testEngineSettings();
            settings.gatewayCount = 100;
            settings.gatewayIndex = {rank};
            EngineHarness harness(settings);
            std::vector<WorkerEntry> entries;
            for (unsigned i = 1; i <= row.workers; ++i) {
                entries.push_back(EngineHarness::workerEntry(i, WorkerState::ready, row.startedAt));
            }
            for (const SendTry &to : harness.updateWorkers(entries).receiveCall(1).actionsOf<SendTry>())
                ++sent[to.worker];
        }
        std::size_t busiest = 0;
        for (const auto &[worker, count] : sent) busiest = std::max(busiest, count);
        CHECK(busiest >= row.least);
        CHECK(busiest <= row.most);
    }
}

TEST_CASE(
    "a try that later answers of its worker have overtaken is called off, what may not run twice late") {
    struct Row {
        const char *name;
        unsigned route;
        bool overtaken;
        Duration least, most;  // from the send to the call-off
    };
    const Row rows[] = {{"idempotent", 0, true, milliseconds(100), milliseconds(300)},
                        {"non-idempotent", 2, true, milliseconds(1000), milliseconds(1020)},
                        {"a worker that says nothing at all", 0, false, {}, {}}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(1);
        const auto answered = [&](std::uint64_t id) {
            const auto sent = harness.receiveCall(id, row.route).actionsOf<SendTry>();
            REQUIRE(sent.size() == 1);
            harness.advance(milliseconds(10)).endTry(id, 0, sent[0].worker, Outcome::answered, true);
        };
        for (std::uint64_t id = 10; id < 20; ++id) answered(id);
        REQUIRE(harness.receiveCall(1, row.route).actionsOf<SendTry>().size() == 1);
        const Timestamp begun = harness.now;
        for (std::uint64_t id = 20; row.overtaken && id < 25; ++id) answered(id);
        std::optional<Duration> took;
        while (harness.now - begun < milliseconds(1500) && !took)
            if (!harness.advance(milliseconds(10)).actionsOf<CancelTry>().empty()) took = harness.now - begun;
        CHECK(took.has_value() == row.overtaken);
        if (!took) continue;
        CHECK((*took >= row.least && *took <= row.most));
        CHECK(harness.advance(milliseconds(50)).actionsOf<CancelTry>().empty());  // once
        harness.endTry(1, 0, WorkerId{1}, Outcome::cancelled);
        CHECK(harness.actionsOf<SendTry>().size() == (row.route == 0 ? 1 : 0));
        CHECK(harness.actionsOf<AnswerErrored>().size() == (row.route == 0 ? 0 : 1));
    }
}

TEST_CASE("one reset bars no worker; resets in a row and refusals do, for a growing time") {
    struct Row {
        const char *name;
        std::vector<Outcome> outcomes;
        Duration barred;
    };
    const Row rows[] = {
        {"a reset", {Outcome::reset}, {}},
        {"two in a row", {Outcome::reset, Outcome::reset}, milliseconds(500)},
        {"two with an answer between", {Outcome::reset, Outcome::answered, Outcome::reset}, {}},
        {"a refusal", {Outcome::connectFailed}, milliseconds(250)}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(1);
        std::uint64_t id = 0;
        for (const Outcome outcome : row.outcomes) {
            REQUIRE(harness.receiveCall(++id, 2).actionsOf<SendTry>().size() == 1);
            harness.endTry(id, 0, WorkerId{1}, outcome, outcome == Outcome::answered);
        }
        Duration waited{};
        for (; harness.receiveCall(++id, 2).actionsOf<SendTry>().empty(); waited += milliseconds(10)) {
            REQUIRE(waited < milliseconds(2000));
            harness.advance(milliseconds(10));
        }
        CHECK((waited >= row.barred && waited <= row.barred + milliseconds(10)));
    }
}

TEST_CASE("a worker left out for what can't run again is tried with it later, and received back") {
    EngineHarness harness;
    harness.setWorkerCount(2);
    std::uint64_t id = 0;
    const auto sentToFirst = [&](int rounds, bool failing) {
        int sent = 0;
        for (; rounds > 0; --rounds) {
            std::vector<SendTry> tries;
            for (int left = 4; left > 0; --left)
                for (const SendTry &to : harness.receiveCall(++id, 2).actionsOf<SendTry>())
                    tries.push_back(to);
            harness.advance(milliseconds(10));
            for (const SendTry &to : tries) {
                const bool bad = failing && to.worker.value == 1;
                sent += to.worker.value == 1;
                harness.endTry(to.call.value, 0, to.worker, bad ? Outcome::errored : Outcome::answered, !bad);
            }
            harness.advance(milliseconds(10));
        }
        return sent;
    };
    CHECK(sentToFirst(20, true) > 0);
    CHECK(sentToFirst(20, true) == 0);
    CHECK(sentToFirst(600, true) < 12);  // at most one every two seconds or so, while it fails
    sentToFirst(400, false);
    CHECK(sentToFirst(100, false) > 100);
}

TEST_CASE("a worker that fails loses what can't run again, unless most of them fail") {
    for (const unsigned failing : {1u, 4u}) {
        CAPTURE(failing);
        EngineHarness harness;
        harness.setWorkerCount(4);
        for (std::uint64_t id = 1; id < 200; ++id) {
            const auto sent = harness.receiveCall(id, 2).actionsOf<SendTry>();
            harness.advance(milliseconds(10));
            for (const SendTry &to : sent) {
                const bool bad = to.worker.value <= failing;
                harness.endTry(id, 0, to.worker, bad ? Outcome::errored : Outcome::answered, !bad);
            }
            harness.advance(milliseconds(10));
        }
        unsigned toFirst = 0, all = 0;
        for (std::uint64_t id = 300; id < 320; ++id) {
            for (const SendTry &to : harness.receiveCall(id, 2).actionsOf<SendTry>()) {
                toFirst += to.worker.value == 1;
                ++all;
                harness.advance(milliseconds(10)).endTry(id, 0, to.worker, Outcome::answered, true);
            }
        }
        CHECK(all == 20);
        CHECK((toFirst > 0) == (failing > 1));
    }
}

TEST_CASE("without a counter a share of an open cap under one is kept by rests") {
    EngineSettings settings = testEngineSettings();
    settings.gatewayCount = 2;
    settings.plans[2].openCap = 1;
    settings.mayUseCounter = false;
    EngineHarness harness(settings);
    harness.setWorkerCount(12).receiveCall(1, 0, 2);
    const WorkerId worker = harness.actionsOf<SendTry>().at(0).worker;
    CHECK(harness.receiveCall(2, 0, 2).finalAnswerCount() == 1);  // finds the cap full
    harness.advance(milliseconds(20)).endTry(1, 0, worker, Outcome::answered, true);
    CHECK(harness.receiveCall(3, 0, 2).finalAnswerCount() == 1);  // rests
    CHECK(harness.advance(milliseconds(1000)).receiveCall(4, 0, 2).actionsOf<SendTry>().size() == 1);
}

TEST_CASE("what a dead gateway left open does not fill the cap in the next epoch") {
    EngineHarness harness;
    harness.setWorkerCount(12);
    std::optional<CountName> first;
    int since = 0;
    std::size_t passed = 0;
    for (std::uint64_t id = 1; since < 20 && id < 400; ++id, harness.advance(milliseconds(100))) {
        harness.receiveCall(id, 0, 2);
        for (const AddToCount &add : harness.actionsOf<AddToCount>()) first = first.value_or(add.name);
        const auto told = [&](const EngineHarness &at) {
            const auto adds = at.actionsOf<AddToCount>();
            since += adds.empty() ? 0 : adds[0].name != *first;
            return since > 0 ? 0.0 : 2.0;  // two tries stay counted under the first name
        };
        harness.endCounterRequests(Outcome::answered, told(harness) + 1);
        for (const SendTry &sent : harness.actionsOf<SendTry>()) {
            passed += since > 0;
            harness.endTry(sent.call.value, 0, sent.worker, Outcome::answered, true);
            harness.endCounterRequests(Outcome::answered, since > 0 ? 0 : 2);
        }
    }
    CHECK(since == 20);
    CHECK(passed >= 12);  // it fades within a second or so
}

namespace {

EngineSettings settingsForGateways(unsigned gateways) {
    EngineSettings settings = testEngineSettings();
    settings.gatewayCount = gateways;
    return settings;
}

/// Calls at even gaps, each answered by its worker after a while; those sent, by worker or by route.
struct CallStream {
    EngineHarness &harness;
    Duration gap, latency;
    std::uint64_t id = 0, chance = 11;
    std::map<Timestamp, std::pair<std::uint64_t, WorkerId>> out{};
    std::map<WorkerId, unsigned> to{};
    std::map<unsigned, unsigned> sent{};

    CallStream &run(int calls) {
        for (; calls > 0; --calls) {
            chance = chance * 6364136223846793005ull + 1442695040888963407ull + ++id;
            const auto route = static_cast<unsigned>((chance >> 33) % 3);
            for (const SendTry &one : harness.receiveCall(id, route).actionsOf<SendTry>()) {
                out[harness.now + latency + Duration{static_cast<int>(id % 1000)}] = {id, one.worker};
                ++to[one.worker];
                ++sent[route];
            }
            harness.advance(gap);
            while (!out.empty() && out.begin()->first <= harness.now) {
                const auto [call, worker] = out.begin()->second;
                out.erase(out.begin());
                harness.endTry(call, 0, worker, Outcome::answered, true, latency);
            }
        }
        return *this;
    }
};

}  // namespace

TEST_CASE("an overload that is over leaves cold workers their part: waiting is no work") {
    std::size_t first = 0;
    for (const int latency : {100, 900}) {
        CAPTURE(latency);
        EngineHarness harness;
        harness.setWorkerCount(1);
        CallStream{harness, milliseconds(1000), milliseconds(latency)}.run(192);
        harness.updateWorkers(
            {EngineHarness::workerEntry(2, WorkerState::ready, harness.now - milliseconds(9000))});
        std::size_t sent = 0;
        for (std::uint64_t id = 1000; id < 1020; ++id)
            sent += harness.receiveCall(id, 0).actionsOf<SendTry>().size();
        CHECK(sent >= 2);
        if (first == 0) first = sent;
        CHECK(2 * sent >= first);
    }
}

TEST_CASE("as most of a fleet turns cold, each gateway's part of the others shrinks at once") {
    constexpr unsigned all = 64, warm = 4;
    EngineHarness harness(settingsForGateways(all));
    const auto listed = [&](unsigned cold) {
        std::vector<WorkerEntry> entries;
        for (unsigned i = 1; i <= all; ++i)
            entries.push_back(
                EngineHarness::workerEntry(i, WorkerState::ready, i <= cold ? harness.now : Timestamp{}));
        harness.updateWorkers(entries);
    };
    listed(0);
    CallStream stream{harness, milliseconds(50), milliseconds(70)};
    stream.run(1000).to.clear();
    unsigned sent = 0;
    for (const auto &[worker, count] : stream.run(200).to) sent += count;
    CHECK(sent >= 190);
    listed(all - warm);
    stream.to.clear();
    stream.latency = milliseconds(150);  // neither easy nor late
    sent = 0;
    for (const auto &[worker, count] : stream.run(200).to) sent += worker.value > all - warm ? count : 0;
    CHECK(sent >= 20);
    CHECK(sent <= 56);  // sixteen times the gateways at each of the four
}

TEST_CASE("calls that earn less give way and keep the larger part of the others' odds") {
    // A fixed case, then fleets, values and latencies as they are drawn.
    std::uint64_t drawn = 7;
    for (int fleet = 0; fleet < 10; ++fleet) {
        const auto pick = [&](std::uint64_t below) {
            return ((drawn = drawn * 6364136223846793005ull + 1) >> 33) % below;
        };
        EngineSettings settings = settingsForGateways(fleet == 0 ? 2 : 1 + static_cast<unsigned>(pick(12)));
        for (Route &route : settings.routes)
            route.billedValue = fleet == 0 ? 5 : std::pow(10.0, static_cast<double>(pick(5)) - 2);
        if (fleet == 0) settings.routes[0].billedValue = 0.1;
        EngineHarness harness(settings);
        harness.setWorkerCount(fleet == 0 ? 2 : 1 + static_cast<unsigned>(pick(6)));
        CallStream stream{harness, milliseconds(10), milliseconds(fleet == 0 ? 300 : 100 + 50 * pick(12))};
        stream.run(2000).sent.clear();
        stream.run(fleet == 0 ? 6000 : 15000);
        const unsigned most = std::max({stream.sent[0], stream.sent[1], stream.sent[2]});
        CAPTURE(fleet);
        CAPTURE(most);
        if (most < 150) continue;  // too few to tell
        for (unsigned route = 0; route < 3; ++route) CHECK(stream.sent[route] > 0.45 * most);
    }
}

TEST_CASE("a worker that turns calls away is left to its line, longer where more gateways use it") {
    for (const unsigned gateways : {2u, 100u}) {
        CAPTURE(gateways);
        EngineHarness harness(settingsForGateways(gateways));
        harness.setWorkerCount(1);
        unsigned tries = 0;
        for (std::uint64_t id = 1; id <= 300; ++id) {
            for (const SendTry &one : harness.receiveCall(id).actionsOf<SendTry>()) {
                ++tries;
                harness.advance(milliseconds(10)).endTry(id, 0, one.worker, Outcome::overloaded, true);
            }
            harness.advance(milliseconds(10));
        }
        CHECK(tries >= 1);
        CHECK(tries <= (gateways == 2 ? 30u : 2u));  // in three seconds; a bar alone would let through 20
    }
}

TEST_CASE("rests follow the latency of now: an overload that is over is soon forgotten") {
    EngineHarness harness(settingsForGateways(40));
    harness.setWorkerCount(2);
    CallStream stream{harness, milliseconds(50), milliseconds(900)};
    stream.run(2000).to.clear();
    unsigned during = 0, after = 0;
    for (const auto &[worker, count] : stream.run(1000).to) during += count;
    stream.latency = milliseconds(30);
    stream.run(400).to.clear();
    for (const auto &[worker, count] : stream.run(1000).to) after += count;
    CHECK(during <= 8);  // 50 s, two workers, a fortieth of one try each that takes 0.9 s
    CHECK(after >= 500);
}

TEST_CASE("a customer whose calls wait for the counter stays, however short its window") {
    EngineSettings settings = settingsForGateways(100);
    settings.plans[1].rate = 50;
    settings.plans[1].burst = 1;
    EngineHarness harness(settings);
    harness.setWorkerCount(4);
    CallReceived received;
    received.call = {1};
    received.plan.value = 1;
    received.customer = {9};
    received.units = 1;
    received.gatewaySubsetSize = 100;
    received.timeRemaining = milliseconds(4000);
    harness.handle(received);
    REQUIRE(harness.actionsOf<SendTry>().empty());
    REQUIRE(harness.actionsOf<AddToCount>().size() >= 1);
    harness.advance(milliseconds(300));
    CHECK(harness.actionsOf<SendTry>().size() + harness.finalAnswerCount() == 1);
}
