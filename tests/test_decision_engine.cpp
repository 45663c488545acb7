/// \file
/// Tests of the decision engine through its interface: each test feeds events to one or more engines and
/// checks the actions that they return. No test needs sockets or a real clock.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <cstdlib>
#include <map>
#include <new>

#include "engine_test_helpers.hpp"

using namespace arrowstile;
using namespace arrowstile::test;

// The global allocation functions are replaced so that tests can detect unbounded growth.
namespace {
long liveAllocations = 0;  // allocations that have not been freed
}

void *operator new(std::size_t size) {
    ++liveAllocations;
    if (void *memory = std::malloc(size)) return memory;
    throw std::bad_alloc();
}
void *operator new(std::size_t size, const std::nothrow_t &) noexcept {
    ++liveAllocations;
    return std::malloc(size);
}
void operator delete(void *memory) noexcept {
    liveAllocations -= memory != nullptr;
    std::free(memory);
}
void operator delete(void *memory, std::size_t) noexcept { operator delete(memory); }

// Each call comes from a new customer, and every tenth call starts a worker that is gone by the next call.
// If state were kept for them, memory would grow without bound over a long run.
TEST_CASE("memory does not grow with the number of past customers, calls and workers") {
    EngineHarness harness;
    harness.setWorkerCount(4);
    long allocationsBefore = 0;
    for (std::uint64_t id = 1; id <= 12000; ++id) {
        CallReceived received;
        received.call = {id};
        received.plan.value = static_cast<std::uint16_t>(id % 4);
        received.customer = {1000 + id};
        received.timeRemaining = milliseconds(4000);
        const auto tries = harness.handle(received).actionsOf<SendTry>();
        harness.endCounterRequests(Outcome::answered, 1);
        for (const SendTry &sentTry : tries) {
            harness.endTry(id, 0, sentTry.worker, Outcome::answered, true)
                .endCounterRequests(Outcome::answered, 0);
        }
        const unsigned workerOffset = static_cast<unsigned>(id);
        const WorkerEntry started = EngineHarness::workerEntry(100 + workerOffset),
                          gone = EngineHarness::workerEntry(99 + workerOffset, WorkerState::gone);
        if (id % 10 == 0) harness.updateWorkers({started, gone}, WorkerListKind::delta);
        if (id % 10 == 1) harness.updateWorkers({gone}, WorkerListKind::delta);
        harness.now += milliseconds(7);
        if (id % 2 == 0) harness.handle(TimerFired{TimerToken{1}}).endCounterRequests(Outcome::answered, 0);
        harness.actions = {};
        // After 70 s, which is longer than the engine keeps state of any of them.
        if (id == 10000) allocationsBefore = liveAllocations;
    }
    CHECK(liveAllocations < allocationsBefore + allocationsBefore / 10);
    CHECK(allocationsBefore < 150000);
}

// Units and open tries that couldn't be reported wait for a request to the counter. Those that no estimate
// uses any more must be dropped, or they accumulate for as long as the counter handles fewer requests than
// there are admitted calls.
TEST_CASE("counts waiting for an overloaded counter do not accumulate") {
    EngineHarness harness;
    harness.setWorkerCount(40);
    long allocationsBefore = 0;
    for (std::uint64_t id = 1; id <= 9000; ++id) {
        CallReceived received;
        received.call = {id};
        received.plan.value = static_cast<std::uint16_t>(1 + id % 2);
        received.customer = {1000 + id};
        received.timeRemaining = milliseconds(4000);
        const auto tries = harness.handle(received).actionsOf<SendTry>();
        harness.endCounterRequests(Outcome::overloaded, 0);
        for (const SendTry &sentTry : tries)
            harness.endTry(id, 0, sentTry.worker, Outcome::answered, true)
                .endCounterRequests(Outcome::overloaded, 0);
        harness.now += milliseconds(10);
        harness.handle(TimerFired{TimerToken{1}}).endCounterRequests(Outcome::overloaded, 0);
        harness.actions = {};
        // After 60 s, more than twice the length of a quota window (4 s) and of the period for which open
        // tries are counted under one name (20 s).
        if (id == 6000) allocationsBefore = liveAllocations;
    }
    CHECK(liveAllocations < allocationsBefore + allocationsBefore / 10);
}

// Without totals a gateway may admit its share of a limit, but at least one call. With many gateways these
// single calls add up to a multiple of the limit. So the first call of a customer waits for the totals.
TEST_CASE("with many gateways the first call of an unknown customer waits for the counter's totals") {
    struct Row {
        const char *name;
        unsigned gatewayCount;
        unsigned plan;
        Outcome outcome;       // of the requests to the counter
        double currentTotal;   // of the current window, or of the open tries
        double previousTotal;  // of the previous window
        bool isHeld;           // the call waits for the counter
        bool isSent;           // the call is sent to a worker, not rate-limited
    };
    const Row rows[] = {
        {"few gateways: decided at once", 3, 1, Outcome::answered, 0, 0, false, true},
        {"quota left in both windows", 200, 1, Outcome::answered, 3, 4, true, true},
        {"quota used up in the current window", 200, 1, Outcome::answered, 22, 0, true, false},
        {"previous window over the quota, current one just begun", 200, 1, Outcome::answered, 4, 200, true,
         false},
        {"request rejected by the counter", 200, 1, Outcome::overloaded, 0, 0, true, true},
        {"open cap not reached", 200, 2, Outcome::answered, 1, 0, true, true},
        {"open cap exceeded", 200, 2, Outcome::answered, 3, 0, true, false},
    };
    for (const Row &row : rows) {
        CAPTURE(std::string(row.name));
        EngineSettings settings = testEngineSettings();
        settings.gatewayCount = row.gatewayCount;
        EngineHarness harness(settings);
        harness.setWorkerCount(12);
        CallReceived received;
        received.call = {1};
        received.customer = {9};
        received.plan.value = static_cast<std::uint16_t>(row.plan);
        received.gatewaySubsetSize = row.gatewayCount;
        received.timeRemaining = milliseconds(4000);
        harness.handle(received);
        CHECK(harness.actionsOf<SendTry>().size() + harness.finalAnswerCount() == (row.isHeld ? 0 : 1));
        if (!row.isHeld) continue;
        const auto requests = harness.actionsOf<AddToCount>();
        REQUIRE(requests.size() >= 1);
        std::size_t triesSent = 0, rateLimited = 0;
        for (const AddToCount &request : requests) {
            // The call is added to the current window; the previous window is only read.
            const double total = request.amount > 0 ? row.currentTotal : row.previousTotal;
            harness.handle(AddToCountEnded{request.name, row.outcome, total, milliseconds(2)});
            triesSent += harness.actionsOf<SendTry>().size();
            rateLimited += harness.actionsOf<AnswerRateLimited>().size();
        }
        CHECK(triesSent == (row.isSent ? 1 : 0));
        CHECK(rateLimited == (row.isSent ? 0 : 1));
    }
}

// During an outage the gateways together may send no more requests than the counter handles. Divided by many
// gateways, that rate could be too low for a gateway to detect the end of the outage soon.
TEST_CASE("each of many gateways detects within two seconds that the counter has recovered") {
    EngineSettings settings = testEngineSettings();
    settings.gatewayCount = 300;
    EngineHarness harness(settings);
    harness.setWorkerCount(12);
    std::uint64_t id = 0;
    std::size_t counterRequests = 0;  // in the last second
    const auto runOneSecond = [&](Outcome counterOutcome) {
        counterRequests = 0;
        for (int i = 0; i < 20; ++i) {
            CallReceived received;
            received.call = {++id};
            received.customer = {id};
            received.plan.value = 1;
            received.gatewaySubsetSize = 2;
            received.timeRemaining = milliseconds(4000);
            const auto tries = harness.handle(received).actionsOf<SendTry>();
            counterRequests += harness.actionsOf<AddToCount>().size();
            harness.endCounterRequests(counterOutcome, 1);
            for (const SendTry &sentTry : tries)
                harness.endTry(id, 0, sentTry.worker, Outcome::answered, true);
            harness.advance(milliseconds(50));
            counterRequests += harness.actionsOf<AddToCount>().size();
            harness.endCounterRequests(counterOutcome, 1);
        }
    };
    for (int i = 0; i < 6; ++i) runOneSecond(Outcome::timedOut);
    CHECK(counterRequests <= 2);  // so that all 300 gateways together send no more than the counter handles
    for (int i = 0; i < 2; ++i) runOneSecond(Outcome::answered);
    CHECK(counterRequests >= 5);
}

TEST_CASE("a call that waits for the counter's totals is decided even if the counter never replies") {
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
    // A call waits for up to twice the counter's timeout; the timer detects it with a delay of up to 20 ms.
    harness.advance(2 * settings.counterTimeout + milliseconds(20));
    CHECK(harness.actionsOf<SendTry>().size() + harness.finalAnswerCount() == 1);
}

// The latency target covers the client's first call and its retries. A retry that succeeds after the target
// uses up quota and earns next to nothing, and one that is rate-limited after the target has a cost. So three
// retries must fit into the target.
TEST_CASE("a rate-limited answer lets the client retry three times within its route's latency target") {
    struct Row {
        const char *name;
        unsigned plan;
        Duration latencyTarget;
        Duration maxRetryAfter;  // a third of the target, but at most EngineSettings::maxRetryAfter
    };
    const Row rows[] = {
        {"quota used up", 1, milliseconds(900), milliseconds(300)},
        {"open cap reached", 2, milliseconds(300), milliseconds(100)},
        {"ceiling reached", 3, milliseconds(600), milliseconds(200)},
        {"no worker", 0, milliseconds(600), milliseconds(200)},
        {"target far above the longest retry-after time", 1, milliseconds(60000), milliseconds(1000)}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineSettings settings = testEngineSettings();
        for (Route &route : settings.routes) route.latencyTarget = row.latencyTarget;
        EngineHarness harness(settings);
        harness.setWorkerCount(row.plan == 0 ? 0 : 12);
        std::size_t rateLimited = 0;
        for (std::uint64_t id = 1; id < 60; ++id) {
            for (const AnswerRateLimited &answer :
                 harness.receiveCall(id, 0, row.plan, 6).actionsOf<AnswerRateLimited>()) {
                ++rateLimited;
                CHECK(answer.retryAfter <= row.maxRetryAfter);
                // Each time is shortened at random by up to half.
                CHECK(answer.retryAfter >= row.maxRetryAfter / 2 - milliseconds(1));
            }
        }
        CHECK(rateLimited > 20);
    }
}

// The later the rate-limited answer, the more it costs the client, so the engine doesn't keep the call until
// the client's timeout.
TEST_CASE("a call that reached no worker is given up at once after half of its client's time") {
    for (const bool isFirstHalf : {true, false}) {
        EngineHarness harness;
        harness.setWorkerCount(3).receiveCall(1, 0, 0, 1, milliseconds(600));
        const WorkerId worker = harness.actionsOf<SendTry>().at(0).worker;
        harness.now += milliseconds(isFirstHalf ? 250 : 310);  // the client waits for 600 ms
        harness.endTry(1, 0, worker, Outcome::connectFailed);
        CHECK(harness.actionsOf<SendTry>().size() == (isFirstHalf ? 1 : 0));
        CHECK(harness.finalAnswerCount() == (isFirstHalf ? 0 : 1));
    }
}

TEST_CASE("when counter requests are scarce, the customer closest to its quota is reported first") {
    EngineSettings settings = testEngineSettings();
    settings.plans[0] = {.rate = 5, .burst = 2000};
    EngineHarness harness(settings);
    harness.setWorkerCount(12);
    std::uint64_t id = 0;
    // Runs a call of one unit and returns the number of requests to the counter that it caused.
    const auto runCall = [&](std::uint64_t customer, unsigned plan) {
        CallReceived received;
        received.call = {++id};
        received.customer = {customer};
        received.plan.value = static_cast<std::uint16_t>(plan);
        received.timeRemaining = milliseconds(4000);
        const auto requestCount = harness.handle(received).actionsOf<AddToCount>().size();
        const auto tries = harness.actionsOf<SendTry>();
        REQUIRE(tries.size() == 1);
        harness.endTry(id, 0, tries[0].worker, Outcome::answered, true);
        return requestCount;
    };
    // Uses up the requests that the engine may send at once.
    for (std::uint64_t customer = 100; runCall(customer, 0) > 0; ++customer) REQUIRE(customer < 200);
    for (int i = 0; i < 10; ++i) runCall(300 + static_cast<std::uint64_t>(i), 0);
    for (int i = 0; i < 12; ++i) CHECK(runCall(7, 1) == 0);
    // This allows one or two requests. The first is for customer 7, which has used over half of its burst.
    harness.advance(milliseconds(10));
    const auto requests = harness.actionsOf<AddToCount>();
    REQUIRE(requests.size() > 0);
    CHECK(requests[0].amount == 12);
    CHECK(runCall(400, 0) == 0);  // while others wait, a new customer isn't reported before them
}

TEST_CASE("a call is tried again if no try may have run it, otherwise only as its route allows") {
    struct Row {
        const char *name;
        unsigned route;
        Outcome outcome;  // of the first try
        bool isTriedAgain;
        bool isRateLimited;
        bool isErrored;
    };
    const Row rows[] = {
        {"idempotent, error reply", 0, Outcome::errored, true, false, false},
        {"tokened, connection reset", 1, Outcome::reset, true, false, false},
        {"non-idempotent, error reply", 2, Outcome::errored, false, false, true},
        {"non-idempotent, connection reset", 2, Outcome::reset, false, false, true},
        {"non-idempotent, timed out", 2, Outcome::timedOut, false, false, true},
        {"non-idempotent, rejected without effect", 2, Outcome::overloaded, true, false, false},
        {"non-idempotent, connection failed", 2, Outcome::connectFailed, true, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(3).receiveCall(1, row.route);
        REQUIRE(harness.actionsOf<SendTry>().size() == 1);
        const WorkerId firstWorker = harness.actionsOf<SendTry>()[0].worker;
        harness.now += milliseconds(20);
        harness.endTry(1, 0, firstWorker, row.outcome);
        CHECK(harness.actionsOf<SendTry>().size() == (row.isTriedAgain ? 1 : 0));
        CHECK(harness.actionsOf<AnswerRateLimited>().size() == (row.isRateLimited ? 1 : 0));
        CHECK(harness.actionsOf<AnswerErrored>().size() == (row.isErrored ? 1 : 0));
        if (row.isTriedAgain) CHECK(harness.actionsOf<SendTry>()[0].worker != firstWorker);
        // The same event once more causes at most one action.
        CHECK(harness.endTry(1, 0, firstWorker, row.outcome).finalAnswerCount() +
                  harness.actionsOf<SendTry>().size() <=
              1);
    }
}

TEST_CASE("each call gets exactly one final answer whatever happens to its workers") {
    struct Row {
        const char *name;
        unsigned workerCount;
        unsigned route;
        Duration timeRemaining;
        Duration tryTime;  // after which the first try ends as timed out
    };
    const Row rows[] = {
        {"no worker", 0, 0, milliseconds(4000), {}},
        {"one worker that times out", 1, 0, milliseconds(300), milliseconds(300)},
        {"client timeout of 1 ms", 1, 0, milliseconds(1), milliseconds(4)},
        {"tokened, try ends after the dedup window", 2, 1, milliseconds(3000), milliseconds(2990)},
        {"non-idempotent", 2, 2, milliseconds(500), milliseconds(500)},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(row.workerCount).receiveCall(1, row.route, 0, 1, row.timeRemaining);
        std::size_t finalAnswers = harness.finalAnswerCount();
        if (const auto tries = harness.actionsOf<SendTry>(); !tries.empty()) {
            CHECK(tries[0].deadline <= harness.now + row.timeRemaining);
            harness.now += row.tryTime;
            harness.endTry(1, 0, tries[0].worker, Outcome::timedOut);
            finalAnswers += harness.finalAnswerCount();
        }
        finalAnswers += harness.advance(milliseconds(5000)).finalAnswerCount();
        CHECK(finalAnswers == 1);
    }
}

TEST_CASE("events that concern no known call, worker, count or timer are ignored") {
    EngineHarness harness;
    harness.setWorkerCount(1);
    const Event ignoredEvents[] = {CallAbandoned{{5}},
                                   TryEnded{{5}, {0}, {77}, Outcome::answered},
                                   AddToCountEnded{{3}},
                                   TimerFired{{99}},
                                   ProbeEnded{{77}},
                                   PeerMessageReceived{},
                                   TryStreamStarted{{5}, {0}, {77}},
                                   WorkerListUpdated{WorkerListKind::failed, 2, {}}};
    for (const Event &event : ignoredEvents) {
        CAPTURE(event.index());
        CHECK(harness.handle(event).actions.empty());
    }
    CHECK(harness.receiveCall(1, 200).finalAnswerCount() == 1);  // the settings have no such route
    // The settings have no such plan: the call has no limits.
    CHECK(harness.receiveCall(2, 0, 200).actionsOf<SendTry>().size() == 1);
    CHECK(harness.handle(CallAbandoned{{2}}).actionsOf<CancelTry>().size() == 1);
    CHECK(harness.endTry(2, 0, {1}, Outcome::cancelled).finalAnswerCount() == 0);
}

TEST_CASE("a worker that drains, is gone or is missing from a snapshot receives no new tries") {
    struct Row {
        const char *name;
        std::vector<WorkerEntry> entries;
        WorkerListKind kind;
    };
    const Row rows[] = {
        {"draining", {EngineHarness::workerEntry(1, WorkerState::draining)}, WorkerListKind::delta},
        {"gone", {EngineHarness::workerEntry(1, WorkerState::gone)}, WorkerListKind::delta},
        {"missing from a snapshot", {EngineHarness::workerEntry(2)}, WorkerListKind::snapshot},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(2).updateWorkers(row.entries, row.kind);
        for (unsigned id = 1; id <= 6; ++id) {
            for (const SendTry &sentTry : harness.receiveCall(id).actionsOf<SendTry>())
                CHECK(sentTry.worker == WorkerId{2});
        }
    }
}

TEST_CASE(
    "quota: an even share before the counter's first reply, its totals afterwards, own calls counted once") {
    struct Row {
        const char *name;
        Outcome outcome;    // of the request to the counter; notSent: no reply during the test
        double otherUnits;  // used by other gateways before
        unsigned sentCalls;
    };
    // The burst is 20 units, shared by two gateways. A first call costs 4 units, all later ones 2 units.
    const Row rows[] = {
        {"no reply yet: half of the burst", Outcome::notSent, 0, 3},
        {"nothing used by others: the whole burst", Outcome::answered, 0, 8},
        {"half of the burst used by others", Outcome::answered, 10, 3},
        {"all the rest used by others", Outcome::answered, 16, 0},
        {"request rejected: the share", Outcome::overloaded, 0, 3},
        {"no connection: the share", Outcome::connectFailed, 0, 3},
        {"request timed out, effect unknown: the share", Outcome::timedOut, 0, 3},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(12).receiveCall(1, 0, 1, 4);
        REQUIRE(harness.actionsOf<AddToCount>().size() == 1);
        const AddToCount request = harness.actionsOf<AddToCount>()[0];
        CHECK(request.amount == 4);
        if (row.outcome != Outcome::notSent) {
            harness.handle(AddToCountEnded{request.name, row.outcome, row.otherUnits + 4, milliseconds(2)});
        }
        unsigned sentCalls = 0;
        for (unsigned id = 2; id < 14; ++id)
            sentCalls += harness.receiveCall(id, 0, 1, 2).actionsOf<SendTry>().size();
        CHECK(sentCalls == row.sentCalls);
        CHECK(harness.actionsOf<AnswerRateLimited>().size() == 1);
        CHECK(harness.actionsOf<AnswerRateLimited>()[0].retryAfter.has_value());
        CHECK(*harness.actionsOf<AnswerRateLimited>()[0].retryAfter <= milliseconds(1000));
    }
}

TEST_CASE("units that the counter has lost still count in this gateway") {
    EngineHarness harness;
    harness.setWorkerCount(12).receiveCall(1, 0, 1, 16);
    const CountName name = harness.actionsOf<AddToCount>()[0].name;
    harness.handle(AddToCountEnded{name, Outcome::answered, 16, milliseconds(2)}).receiveCall(2, 0, 1, 2);
    // The counter has restarted without its counts: the total holds the last 2 units only.
    harness.handle(AddToCountEnded{name, Outcome::answered, 2, milliseconds(2)});
    CHECK(harness.receiveCall(3, 0, 1, 4).actionsOf<AnswerRateLimited>().size() == 1);
}

TEST_CASE("a failing counter receives ever fewer requests, and every admitted call is reported") {
    for (const Outcome outcome : {Outcome::timedOut, Outcome::connectFailed, Outcome::overloaded}) {
        CAPTURE(static_cast<int>(outcome));
        EngineHarness harness;
        harness.setWorkerCount(12).receiveCall(1, 0, 1, 1);
        std::size_t lateRequests = 0;  // in the last of three seconds
        double lastAmount = 0;
        for (unsigned i = 0; i < 300; ++i) {
            for (const AddToCount &request : harness.actionsOf<AddToCount>()) {
                lateRequests += i > 200;
                lastAmount = request.amount;
                harness.handle(AddToCountEnded{request.name, outcome, 0, milliseconds(5)});
            }
            harness.advance(milliseconds(10));
        }
        CHECK(lateRequests <= 20);
        // The unit is reported again, except after a timeout: it may have been added already.
        if (outcome != Outcome::timedOut) CHECK(lastAmount == 1);
    }
}

TEST_CASE(
    "an open cap is kept by the last known total, by the counter's reply once the cap was reached, and by a "
    "share of it if there is no reply") {
    EngineHarness harness;
    harness.setWorkerCount(12);
    for (unsigned id : {1, 2})
        CHECK(harness.receiveCall(id, 0, 2)
                  .endCounterRequests(Outcome::answered, id)
                  .actionsOf<SendTry>()
                  .size() == 1);
    // Two tries are open, which is the cap.
    CHECK(harness.receiveCall(3, 0, 2).actionsOf<AnswerRateLimited>().size() == 1);
    for (unsigned id : {1, 2})
        harness.endTry(id, 0, {id}, Outcome::answered, true).endCounterRequests(Outcome::answered, 2 - id);

    struct Row {
        const char *name;
        Outcome outcome;  // of the request to the counter
        double total;     // of open tries, this call's included
        bool isSent;
    };
    const Row rows[] = {
        {"cap not reached", Outcome::answered, 1, true},
        {"cap reached by tries of other gateways", Outcome::answered, 3, false},
        {"no reply: a share of one try", Outcome::timedOut, 0, true},
    };
    unsigned id = 10;
    for (const Row &row : rows) {
        CAPTURE(row.name);
        harness.advance(milliseconds(200)).endCounterRequests(Outcome::answered, 0).receiveCall(++id, 0, 2);
        // The cap was reached a moment ago, so the call waits for the counter's reply.
        CHECK(harness.finalAnswerCount() + harness.actionsOf<SendTry>().size() == 0);
        REQUIRE(harness.actionsOf<AddToCount>().size() == 1);
        harness.handle(AddToCountEnded{harness.actionsOf<AddToCount>()[0].name, row.outcome, row.total,
                                       milliseconds(2)});
        const auto tries = harness.actionsOf<SendTry>();
        CHECK(tries.size() == (row.isSent ? 1 : 0));
        CHECK(harness.finalAnswerCount() == (row.isSent ? 0 : 1));
        harness.endCounterRequests(Outcome::answered, row.isSent ? 1 : 0);
        if (row.isSent)
            harness.endTry(id, 0, tries[0].worker, Outcome::answered, true)
                .endCounterRequests(Outcome::answered, 0);
    }
}

TEST_CASE("a call that waits for a count of open tries is decided even if the counter never replies") {
    EngineHarness harness;
    harness.setWorkerCount(12).receiveCall(1, 0, 2).receiveCall(2, 0, 2).receiveCall(3, 0, 2);
    harness.endTry(1, 0, {1}, Outcome::answered, true);
    harness.receiveCall(4, 0, 2);
    const std::size_t decidedAtOnce = harness.finalAnswerCount() + harness.actionsOf<SendTry>().size();
    harness.advance(milliseconds(150));  // a call waits for up to twice the counter's timeout of 50 ms
    CHECK(decidedAtOnce + harness.finalAnswerCount() + harness.actionsOf<SendTry>().size() == 1);
}

// A gateway that restarts may have spent its share just before. So the share is empty at the start.
TEST_CASE("a ceiling is shared evenly among the gateways, and a restart does not refill a share") {
    struct Row {
        const char *name;
        Duration uptime;
        unsigned sentCalls;  // half of what the ceiling allows, since there are two gateways
    };
    const Row rows[] = {{"just started", {}, 0},
                        {"after a second", milliseconds(1000), 5},
                        {"after a minute", milliseconds(60000), 10}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(12);
        harness.now += row.uptime;
        unsigned sentCalls = 0;
        for (unsigned id = 1; id < 30; ++id)
            sentCalls += harness.receiveCall(id, 0, 3).actionsOf<SendTry>().size();
        CHECK(sentCalls == row.sentCalls);
    }
}

// A cold worker crashes if it is sent much more work than its present capacity.
TEST_CASE("a cold worker receives few concurrent tries, and more as it warms up") {
    unsigned previousTries = 0;
    for (const int ageMs : {0, 5000, 9000}) {
        CAPTURE(ageMs);
        EngineHarness harness;
        harness.now = milliseconds(20000);
        harness.updateWorkers({EngineHarness::workerEntry(1, WorkerState::ready,
                                                          harness.now - milliseconds(ageMs) - Duration{1})});
        unsigned tries = 0;
        for (unsigned id = 1; id < 30; ++id) tries += harness.receiveCall(id).actionsOf<SendTry>().size();
        CHECK(tries >= std::max(1u, previousTries));
        CHECK(tries <= 4);
        previousTries = tries;
    }
}

TEST_CASE("a worker that stays silent while others reply is chosen last, but not when all are silent") {
    for (const bool othersReply : {true, false}) {
        CAPTURE(othersReply);
        EngineHarness harness;
        harness.setWorkerCount(4);
        std::uint64_t id = 1;
        // First, each worker replies within 20 ms.
        for (int round = 0; round < 40; ++round) {
            std::map<std::uint64_t, WorkerId> workersByCall;
            for (int i = 0; i < 4; ++i, ++id)
                workersByCall[id] = harness.receiveCall(id).actionsOf<SendTry>().at(0).worker;
            harness.advance(milliseconds(20));
            for (const auto &[callId, worker] : workersByCall)
                harness.endTry(callId, 0, worker, Outcome::answered, true);
        }
        // Then each worker has an open try for 200 ms. Worker 1 never replies to it.
        std::map<WorkerId, std::uint64_t> openCalls;
        for (; openCalls.size() < 4; ++id)
            openCalls.emplace(harness.receiveCall(id).actionsOf<SendTry>().at(0).worker, id);
        harness.advance(milliseconds(200));
        std::map<WorkerId, unsigned> newTries;
        for (const auto &[worker, callId] : openCalls) {
            if (othersReply && worker != WorkerId{1})
                harness.endTry(callId, 0, worker, Outcome::answered, true);
        }
        harness.advance(milliseconds(10));
        // One call for each worker that is expected to receive one.
        for (int i = othersReply ? 1 : 0; i < 4; ++i, ++id)
            ++newTries[harness.receiveCall(id).actionsOf<SendTry>().at(0).worker];
        CHECK(newTries[WorkerId{1}] == (othersReply ? 0 : 1));
    }
}

// A fault may affect one route only.
TEST_CASE("a worker that fails on one route still receives calls of other routes") {
    EngineHarness harness;
    harness.setWorkerCount(4);
    std::map<unsigned, unsigned> lateTriesByRoute;  // to worker 1, for the last 199 of 599 calls
    for (std::uint64_t id = 1; id < 600; ++id) {
        const unsigned route = id % 2 == 0 ? 2 : 0;  // non-idempotent and idempotent
        for (const SendTry &sentTry : harness.receiveCall(id, route).actionsOf<SendTry>()) {
            const bool fails = route == 2 && sentTry.worker == WorkerId{1};
            if (id > 400 && sentTry.worker == WorkerId{1}) ++lateTriesByRoute[route];
            harness.advance(milliseconds(10))
                .endTry(id, 0, sentTry.worker, fails ? Outcome::errored : Outcome::answered, !fails);
        }
    }
    CHECK(lateTriesByRoute[2] == 0);
    CHECK(lateTriesByRoute[0] > 0);
}

// An even share of a cold worker's limit would be less than one try for each of 100 gateways, and one try
// from each would be too many. The order of warm workers differs between the gateways, because with equal
// orders all first calls would go to the same worker.
TEST_CASE("many gateways take turns at a cold worker, and spread their first calls over the workers") {
    struct Row {
        const char *name;
        unsigned workerCount;
        Timestamp startedAt;  // of the workers; the call arrives at 1000 ms
        // Of 100 gateways, those that send their first call to the worker with the most calls.
        std::size_t minGateways;
        std::size_t maxGateways;
    };
    const Row rows[] = {{"one cold worker", 1, milliseconds(900), 1, 2},
                        {"one warm worker", 1, {}, 100, 100},
                        {"twenty warm workers", 20, {}, 5, 14}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::map<WorkerId, std::size_t> triesByWorker;
        for (unsigned gatewayIndex = 0; gatewayIndex < 100; ++gatewayIndex) {
            EngineSettings settings = testEngineSettings();
            settings.gatewayCount = 100;
            settings.gatewayIndex = {gatewayIndex};
            EngineHarness harness(settings);
            std::vector<WorkerEntry> entries;
            for (unsigned i = 1; i <= row.workerCount; ++i) {
                entries.push_back(EngineHarness::workerEntry(i, WorkerState::ready, row.startedAt));
            }
            for (const SendTry &sentTry : harness.updateWorkers(entries).receiveCall(1).actionsOf<SendTry>())
                ++triesByWorker[sentTry.worker];
        }
        std::size_t maxTriesOfWorker = 0;
        for (const auto &[worker, tries] : triesByWorker)
            maxTriesOfWorker = std::max(maxTriesOfWorker, tries);
        CHECK(maxTriesOfWorker >= row.minGateways);
        CHECK(maxTriesOfWorker <= row.maxGateways);
    }
}

// A connection can stop delivering while its worker goes on replying on others. An idempotent call is then
// sent to the worker again; a non-idempotent one is answered as errored, so its try gets more time.
TEST_CASE(
    "a try overtaken by later replies of its worker is cancelled, a non-idempotent one only after its "
    "latency target") {
    struct Row {
        const char *name;
        unsigned route;
        bool isOvertaken;
        // From the try's start to its cancellation.
        Duration minElapsed;
        Duration maxElapsed;
    };
    const Row rows[] = {{"idempotent", 0, true, milliseconds(100), milliseconds(300)},
                        {"non-idempotent", 2, true, milliseconds(1000), milliseconds(1020)},
                        {"worker sends no later replies", 0, false, {}, {}}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(1);
        const auto runAnsweredCall = [&](std::uint64_t id) {
            const auto tries = harness.receiveCall(id, row.route).actionsOf<SendTry>();
            REQUIRE(tries.size() == 1);
            harness.advance(milliseconds(10)).endTry(id, 0, tries[0].worker, Outcome::answered, true);
        };
        for (std::uint64_t id = 10; id < 20; ++id) runAnsweredCall(id);
        REQUIRE(harness.receiveCall(1, row.route).actionsOf<SendTry>().size() == 1);
        const Timestamp sentAt = harness.now;
        for (std::uint64_t id = 20; row.isOvertaken && id < 25; ++id) runAnsweredCall(id);
        std::optional<Duration> elapsed;
        while (harness.now - sentAt < milliseconds(1500) && !elapsed)
            if (!harness.advance(milliseconds(10)).actionsOf<CancelTry>().empty())
                elapsed = harness.now - sentAt;
        CHECK(elapsed.has_value() == row.isOvertaken);
        if (!elapsed) continue;
        CHECK((*elapsed >= row.minElapsed && *elapsed <= row.maxElapsed));
        // It is cancelled only once.
        CHECK(harness.advance(milliseconds(50)).actionsOf<CancelTry>().empty());
        harness.endTry(1, 0, WorkerId{1}, Outcome::cancelled);
        CHECK(harness.actionsOf<SendTry>().size() == (row.route == 0 ? 1 : 0));
        CHECK(harness.actionsOf<AnswerErrored>().size() == (row.route == 0 ? 0 : 1));
    }
}

// One reset may concern a single connection only. A worker that has stopped refuses connections, or resets
// several in a row.
TEST_CASE("a failed connection or resets in a row eject a worker for a growing time, one reset does not") {
    struct Row {
        const char *name;
        std::vector<Outcome> outcomes;
        Duration ejection;  // how long no call is sent to the worker
    };
    const Row rows[] = {
        {"one reset", {Outcome::reset}, {}},
        {"two resets in a row", {Outcome::reset, Outcome::reset}, milliseconds(500)},
        {"two resets with an answer between", {Outcome::reset, Outcome::answered, Outcome::reset}, {}},
        {"one failed connection", {Outcome::connectFailed}, milliseconds(250)}};
    for (const Row &row : rows) {
        CAPTURE(row.name);
        EngineHarness harness;
        harness.setWorkerCount(1);
        std::uint64_t id = 0;
        for (const Outcome outcome : row.outcomes) {
            REQUIRE(harness.receiveCall(++id, 2).actionsOf<SendTry>().size() == 1);
            harness.endTry(id, 0, WorkerId{1}, outcome, outcome == Outcome::answered);
        }
        Duration elapsed{};
        for (; harness.receiveCall(++id, 2).actionsOf<SendTry>().empty(); elapsed += milliseconds(10)) {
            REQUIRE(elapsed < milliseconds(2000));
            harness.advance(milliseconds(10));
        }
        CHECK((elapsed >= row.ejection && elapsed <= row.ejection + milliseconds(10)));
    }
}

TEST_CASE("a worker ejected from non-idempotent calls is tried now and then, and returns once it answers") {
    EngineHarness harness;
    harness.setWorkerCount(2);
    std::uint64_t id = 0;
    // Runs rounds of 4 non-idempotent calls in 20 ms and returns the number of tries to worker 1.
    const auto countTriesToFirst = [&](int rounds, bool isFirstFailing) {
        int triesToFirst = 0;
        for (; rounds > 0; --rounds) {
            std::vector<SendTry> tries;
            for (int remaining = 4; remaining > 0; --remaining)
                for (const SendTry &sentTry : harness.receiveCall(++id, 2).actionsOf<SendTry>())
                    tries.push_back(sentTry);
            harness.advance(milliseconds(10));
            for (const SendTry &sentTry : tries) {
                const bool fails = isFirstFailing && sentTry.worker.value == 1;
                triesToFirst += sentTry.worker.value == 1;
                harness.endTry(sentTry.call.value, 0, sentTry.worker,
                               fails ? Outcome::errored : Outcome::answered, !fails);
            }
            harness.advance(milliseconds(10));
        }
        return triesToFirst;
    };
    CHECK(countTriesToFirst(20, true) > 0);
    CHECK(countTriesToFirst(20, true) == 0);
    CHECK(countTriesToFirst(600, true) < 12);  // in 12 s; at most about one every two seconds while it fails
    countTriesToFirst(400, false);
    CHECK(countTriesToFirst(100, false) > 100);
}

// If most workers fail, they do so for a common cause, and none is a better choice than the others.
TEST_CASE("a failing worker receives no non-idempotent calls, unless most workers fail") {
    for (const unsigned failingWorkers : {1u, 4u}) {
        CAPTURE(failingWorkers);
        EngineHarness harness;
        harness.setWorkerCount(4);
        for (std::uint64_t id = 1; id < 200; ++id) {
            const auto tries = harness.receiveCall(id, 2).actionsOf<SendTry>();
            harness.advance(milliseconds(10));
            for (const SendTry &sentTry : tries) {
                const bool fails = sentTry.worker.value <= failingWorkers;
                harness.endTry(id, 0, sentTry.worker, fails ? Outcome::errored : Outcome::answered, !fails);
            }
            harness.advance(milliseconds(10));
        }
        unsigned triesToFirst = 0, allTries = 0;
        for (std::uint64_t id = 300; id < 320; ++id) {
            for (const SendTry &sentTry : harness.receiveCall(id, 2).actionsOf<SendTry>()) {
                triesToFirst += sentTry.worker.value == 1;
                ++allTries;
                harness.advance(milliseconds(10)).endTry(id, 0, sentTry.worker, Outcome::answered, true);
            }
        }
        CHECK(allTries == 20);
        CHECK((triesToFirst > 0) == (failingWorkers > 1));
    }
}

// A cap of one try leaves half a try to each of the two gateways. One open try at each would exceed the cap.
TEST_CASE("without a counter, a share of less than one open try is kept by pauses between tries") {
    EngineSettings settings = testEngineSettings();
    settings.gatewayCount = 2;
    settings.plans[2].openCap = 1;
    settings.mayUseCounter = false;
    EngineHarness harness(settings);
    harness.setWorkerCount(12).receiveCall(1, 0, 2);
    const WorkerId worker = harness.actionsOf<SendTry>().at(0).worker;
    CHECK(harness.receiveCall(2, 0, 2).finalAnswerCount() == 1);  // the cap is reached
    harness.advance(milliseconds(20)).endTry(1, 0, worker, Outcome::answered, true);
    CHECK(harness.receiveCall(3, 0, 2).finalAnswerCount() == 1);  // during the pause
    CHECK(harness.advance(milliseconds(1000)).receiveCall(4, 0, 2).actionsOf<SendTry>().size() == 1);
}

// The open tries of a gateway that crashed are never subtracted from the count at the counter. So the count's
// name changes from time to time, and the count of the new name starts without them.
TEST_CASE("open tries of a crashed gateway count against the cap only until the count's name changes") {
    EngineHarness harness;
    harness.setWorkerCount(12);
    std::optional<CountName> firstName;
    int requestsOfLaterName = 0;
    std::size_t triesOfLaterName = 0;
    for (std::uint64_t id = 1; requestsOfLaterName < 20 && id < 400;
         ++id, harness.advance(milliseconds(100))) {
        harness.receiveCall(id, 0, 2);
        for (const AddToCount &request : harness.actionsOf<AddToCount>())
            firstName = firstName.value_or(request.name);
        const auto crashedGatewayTries = [&](const EngineHarness &current) {
            const auto requests = current.actionsOf<AddToCount>();
            requestsOfLaterName += requests.empty() ? 0 : requests[0].name != *firstName;
            return requestsOfLaterName > 0 ? 0.0 : 2.0;  // two tries stay counted under the first name
        };
        harness.endCounterRequests(Outcome::answered, crashedGatewayTries(harness) + 1);
        for (const SendTry &sentTry : harness.actionsOf<SendTry>()) {
            triesOfLaterName += requestsOfLaterName > 0;
            harness.endTry(sentTry.call.value, 0, sentTry.worker, Outcome::answered, true);
            harness.endCounterRequests(Outcome::answered, requestsOfLaterName > 0 ? 0 : 2);
        }
    }
    CHECK(requestsOfLaterName == 20);
    CHECK(triesOfLaterName >= 12);  // the total of the first name counts for about another second
}

namespace {

EngineSettings settingsForGateways(unsigned gatewayCount) {
    EngineSettings settings = testEngineSettings();
    settings.gatewayCount = gatewayCount;
    return settings;
}

/// A stream of calls with pseudo-random routes, one after each `interval`. Each try is answered by its worker
/// after `latency`. Counts the tries by worker and by route.
struct CallStream {
    EngineHarness &harness;
    Duration interval;
    Duration latency;
    std::uint64_t lastCallId = 0;
    std::uint64_t randomState = 11;
    std::map<Timestamp, std::pair<std::uint64_t, WorkerId>> openTries{};  // call and worker, by time of reply
    std::map<WorkerId, unsigned> triesByWorker{};
    std::map<unsigned, unsigned> triesByRoute{};

    /// Sends this number of calls.
    CallStream &run(int calls) {
        for (; calls > 0; --calls) {
            randomState = randomState * 6364136223846793005ull + 1442695040888963407ull + ++lastCallId;
            const auto route = static_cast<unsigned>((randomState >> 33) % 3);
            for (const SendTry &sentTry : harness.receiveCall(lastCallId, route).actionsOf<SendTry>()) {
                // Replies arrive up to 1 ms later than `latency`.
                openTries[harness.now + latency + Duration{static_cast<int>(lastCallId % 1000)}] = {
                    lastCallId, sentTry.worker};
                ++triesByWorker[sentTry.worker];
                ++triesByRoute[route];
            }
            harness.advance(interval);
            while (!openTries.empty() && openTries.begin()->first <= harness.now) {
                const auto [callId, worker] = openTries.begin()->second;
                openTries.erase(openTries.begin());
                harness.endTry(callId, 0, worker, Outcome::answered, true, latency);
            }
        }
        return *this;
    }
};

}  // namespace

// The limit of a cold worker depends on the work of a call. Latencies during an overload include the time in
// workers' queues, which isn't work and must not lower that limit.
TEST_CASE("after an overload cold workers still receive their share of tries") {
    std::size_t triesAtFirstLatency = 0;
    for (const int latencyMs : {100, 900}) {
        CAPTURE(latencyMs);
        EngineHarness harness;
        harness.setWorkerCount(1);
        CallStream{harness, milliseconds(1000), milliseconds(latencyMs)}.run(192);
        // The start of worker 3 confirms the age of worker 2, see test_worker_age.cpp.
        harness.updateWorkers(
            {EngineHarness::workerEntry(2, WorkerState::ready, harness.now - milliseconds(9000)),
             EngineHarness::workerEntry(3, WorkerState::draining, harness.now)});
        std::size_t tries = 0;
        for (std::uint64_t id = 1000; id < 1020; ++id)
            tries += harness.receiveCall(id, 0).actionsOf<SendTry>().size();
        CHECK(tries >= 2);
        if (triesAtFirstLatency == 0) triesAtFirstLatency = tries;
        CHECK(2 * tries >= triesAtFirstLatency);
    }
}

// The warm workers that remain are used by more gateways at once, so each gateway must send less to them.
TEST_CASE("when most workers turn cold, each gateway's share of the warm ones shrinks at once") {
    constexpr unsigned workerCount = 64, warmCount = 4;
    EngineHarness harness(settingsForGateways(workerCount));  // as many gateways as workers
    // The workers up to `coldCount` have just started, the others are warm.
    const auto listWorkers = [&](unsigned coldCount) {
        std::vector<WorkerEntry> entries;
        for (unsigned i = 1; i <= workerCount; ++i)
            entries.push_back(EngineHarness::workerEntry(i, WorkerState::ready,
                                                         i <= coldCount ? harness.now : Timestamp{}));
        harness.updateWorkers(entries);
    };
    listWorkers(0);
    CallStream stream{harness, milliseconds(50), milliseconds(70)};
    stream.run(1000).triesByWorker.clear();
    unsigned sentTries = 0;
    for (const auto &[worker, tries] : stream.run(200).triesByWorker) sentTries += tries;
    CHECK(sentTries >= 190);
    listWorkers(workerCount - warmCount);
    stream.triesByWorker.clear();
    // Neither low enough to raise a worker's limit nor high enough to cut it.
    stream.latency = milliseconds(150);
    sentTries = 0;
    for (const auto &[worker, tries] : stream.run(200).triesByWorker)
        sentTries += worker.value > workerCount - warmCount ? tries : 0;
    CHECK(sentTries >= 20);
    CHECK(sentTries <= 56);  // each of the 4 warm workers is used by 16 times as many gateways as before
}

// Where workers are at their limits, calls that earn less for the time they take give way to others. They
// must keep the larger part of the others' chances, so that no route starves.
TEST_CASE("each route keeps more than 0.45 of the busiest route's tries, however low its billed value") {
    // Fleet 0 is fixed. The sizes, billed values and latencies of the other fleets are pseudo-random.
    std::uint64_t randomState = 7;
    for (int fleet = 0; fleet < 10; ++fleet) {
        const auto drawBelow = [&](std::uint64_t bound) {
            return ((randomState = randomState * 6364136223846793005ull + 1) >> 33) % bound;
        };
        EngineSettings settings =
            settingsForGateways(fleet == 0 ? 2 : 1 + static_cast<unsigned>(drawBelow(12)));
        for (Route &route : settings.routes)
            route.billedValue = fleet == 0 ? 5 : std::pow(10.0, static_cast<double>(drawBelow(5)) - 2);
        if (fleet == 0) settings.routes[0].billedValue = 0.1;
        EngineHarness harness(settings);
        harness.setWorkerCount(fleet == 0 ? 2 : 1 + static_cast<unsigned>(drawBelow(6)));
        CallStream stream{harness, milliseconds(10),
                          milliseconds(fleet == 0 ? 300 : 100 + 50 * drawBelow(12))};
        stream.run(2000).triesByRoute.clear();
        stream.run(fleet == 0 ? 6000 : 15000);
        const unsigned maxTriesOfRoute =
            std::max({stream.triesByRoute[0], stream.triesByRoute[1], stream.triesByRoute[2]});
        CAPTURE(fleet);
        CAPTURE(maxTriesOfRoute);
        if (maxTriesOfRoute < 150) continue;  // too few to compare
        for (unsigned route = 0; route < 3; ++route)
            CHECK(stream.triesByRoute[route] > 0.45 * maxTriesOfRoute);
    }
}

// Without a pause all gateways would return to the worker's full queue at the same time.
TEST_CASE("a worker that rejects calls gets time to empty its queue, more where more gateways use it") {
    for (const unsigned gatewayCount : {2u, 100u}) {
        CAPTURE(gatewayCount);
        EngineHarness harness(settingsForGateways(gatewayCount));
        harness.setWorkerCount(1);
        unsigned tries = 0;
        for (std::uint64_t id = 1; id <= 300; ++id) {
            for (const SendTry &sentTry : harness.receiveCall(id).actionsOf<SendTry>()) {
                ++tries;
                harness.advance(milliseconds(10)).endTry(id, 0, sentTry.worker, Outcome::overloaded, true);
            }
            harness.advance(milliseconds(10));
        }
        CHECK(tries >= 1);
        // In three seconds. Ejecting the worker for a fixed time alone would let through 20 tries.
        CHECK(tries <= (gatewayCount == 2 ? 30u : 2u));
    }
}

TEST_CASE("pauses between tries follow the current latency, and shrink soon after an overload") {
    EngineHarness harness(settingsForGateways(40));
    harness.setWorkerCount(2);
    CallStream stream{harness, milliseconds(50), milliseconds(900)};
    stream.run(2000).triesByWorker.clear();
    unsigned triesDuringOverload = 0, triesAfterOverload = 0;
    for (const auto &[worker, tries] : stream.run(1000).triesByWorker) triesDuringOverload += tries;
    stream.latency = milliseconds(30);
    stream.run(400).triesByWorker.clear();
    for (const auto &[worker, tries] : stream.run(1000).triesByWorker) triesAfterOverload += tries;
    // In 50 s. Each of the two workers has a limit of one try for all 40 gateways, and a try takes 0.9 s.
    CHECK(triesDuringOverload <= 8);
    CHECK(triesAfterOverload >= 500);
}

// The quota window is 20 ms long. Idle customers are removed after two windows, but a call may wait for the
// counter for up to twice its timeout of 50 ms, and can't be decided without its customer.
TEST_CASE("a customer whose call waits for the counter is kept, however short its quota window") {
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

// Guards against a failure of this machine being taken for one of the counter: the pace fell to its minimum,
// and the counter was distrusted.
TEST_CASE(
    "issue 29: a local failure changes neither the pace nor the trust in the counter, and adds nothing") {
    EngineHarness harness;
    harness.setWorkerCount(4).receiveCall(1, 0, 1);
    REQUIRE(harness.actionsOf<AddToCount>().size() == 1);
    for (int remaining = 50; remaining > 0; --remaining) {
        const auto requests = harness.actionsOf<AddToCount>();
        for (const AddToCount &request : requests)
            harness.handle(AddToCountEnded{request.name, Outcome::localFailure, 0, {}});
        // The addition is not repeated within the same moment.
        CHECK(harness.actionsOf<AddToCount>().empty());
        harness.advance(milliseconds(10));
        const auto repeated = harness.actionsOf<AddToCount>();
        REQUIRE(repeated.size() == 1);
        CHECK(repeated[0].amount == 1);
    }
}

// Guards against tries for which there is no connection, and against calls that wait for one without a bound.
TEST_CASE("calls beyond the number of tries that connections allow wait in order, as many as that number") {
    EngineSettings settings = testEngineSettings();
    settings.maxTriesInFlight = 2;
    EngineHarness engine(settings);
    engine.setWorkerCount(4);
    REQUIRE(engine.receiveCall(1).actionsOf<SendTry>().size() == 1);
    const WorkerId firstWorker = engine.actionsOf<SendTry>()[0].worker;
    CHECK(engine.receiveCall(2).actionsOf<SendTry>().size() == 1);
    for (const std::uint64_t id : {3, 4}) CHECK(engine.receiveCall(id).actions.empty());
    CHECK(engine.receiveCall(5).actionsOf<AnswerRateLimited>().size() == 1);
    const auto sent = engine.endTry(1, 0, firstWorker, Outcome::answered, true).actionsOf<SendTry>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].call == CallId{3});
    // A call that could not be tried again in time is answered while there is still time for the client.
    engine.advance(milliseconds(1900));
    CHECK(engine.finalAnswerCount() == 0);
    engine.advance(milliseconds(200));
    const auto answered = engine.actionsOf<AnswerRateLimited>();
    REQUIRE(answered.size() == 1);
    CHECK(answered[0].call == CallId{4});
}
