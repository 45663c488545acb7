/// \file
/// Tests of the decision whether the list of workers may be used, and of what the engine does with calls
/// while it may not.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <arrowstile/worker_list_freshness.hpp>
#include <vector>

#include "engine_test_helpers.hpp"

using namespace arrowstile;
using std::chrono::milliseconds;

namespace {

constexpr Timestamp kStart = std::chrono::seconds(1000);

Timestamp at(int ms) { return kStart + milliseconds(ms); }

/// Something that puts the list in doubt, at a time after the start in ms.
struct DoubtAt {
    int ms;
    ListDoubt cause;
};

}  // namespace

// The grace for workers that begin to drain is 250 ms on the usual deployment. With the time until discovery
// is asked again, and the time until its answer is applied, no more than 200 ms of it may be used up.
TEST_CASE("issue 29: a confirmed list is used for 200 ms at most after contact was lost, until silence") {
    for (const ListDoubt cause :
         {ListDoubt::connectionLost, ListDoubt::connectionRefused, ListDoubt::localFailure}) {
        CAPTURE(toString(cause));
        WorkerListFreshness freshness(DiscoveryMode::pushed, kStart);
        freshness.confirm();
        CHECK(freshness.mayUseList(at(0)));
        freshness.addDoubt(cause, at(0));
        CHECK(!freshness.mayUseList(at(200)));
        CHECK(freshness.mayUseList(at(20000)));
        freshness.confirm();
        CHECK(freshness.mayUseList(at(300)));
    }
}

TEST_CASE("issue 29: when calls may be sent by a list that is in doubt") {
    struct Row {
        const char *name;
        bool isConfirmedFirst;
        std::vector<DoubtAt> doubts;
        int ms;
        bool isUsable;
    };
    const Row rows[] = {
        {"start, discovery has not answered", false, {}, 0, false},
        {"start, an answer may take 3 s", false, {}, 3500, false},
        {"start, discovery is silent; ready within 6 s", false, {}, 5000, true},
        {"start, nothing listens there", false, {{0, ListDoubt::connectionRefused}}, 2000, true},
        {"start, can't connect for 6 s",
         false,
         {{0, ListDoubt::localFailure}, {3000, ListDoubt::localFailure}, {6000, ListDoubt::localFailure}},
         6100,
         false},
        {"first part of an answer after silence",
         false,
         {{60000, ListDoubt::answerIncomplete}},
         60001,
         false},
        {"an answer that arrives slowly",
         false,
         {{3000, ListDoubt::answerIncomplete}, {6000, ListDoubt::answerIncomplete}},
         8000,
         false},
        {"an answer that stops halfway", true, {{0, ListDoubt::answerIncomplete}}, 5000, true},
        {"discovery moved: 4 s", true, {{0, ListDoubt::addressChanged}}, 3900, true},
        {"discovery moved, silent there", true, {{0, ListDoubt::addressChanged}}, 4100, true},
        {"watch response overdue", true, {{0, ListDoubt::watchSilent}}, 700, false},
        {"watch response overdue, silent", true, {{0, ListDoubt::watchSilent}}, 1100, true},
        {"further failures don't prolong the wait",
         true,
         {{0, ListDoubt::connectionLost}, {3000, ListDoubt::connectionLost}},
         4100,
         true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        WorkerListFreshness freshness(DiscoveryMode::pushed, kStart);
        if (row.isConfirmedFirst) freshness.confirm();
        for (const DoubtAt &doubt : row.doubts) freshness.addDoubt(doubt.cause, at(doubt.ms));
        CHECK(freshness.mayUseList(at(row.ms)) == row.isUsable);
    }
}

TEST_CASE("issue 29: an answer that never ends holds calls up once, for 10 s") {
    WorkerListFreshness freshness(DiscoveryMode::pushed, kStart);
    int usableMs = 0;
    for (int ms = 0; ms < 60000; ms += 100) {
        freshness.addDoubt(ListDoubt::answerIncomplete, at(ms));
        usableMs += freshness.mayUseList(at(ms)) ? 100 : 0;
    }
    CHECK(usableMs >= 50000 - 100);
}

TEST_CASE("issue 29: while the list is in doubt no call is sent; then each is sent, once, by the new list") {
    test::EngineHarness harness;
    harness.setWorkerCount(4);
    harness.handle(WorkerListUsableChanged{false});
    for (const unsigned plan : {0u, 1u, 2u, 3u}) {
        harness.receiveCall(plan + 1, 0, plan);
        CHECK(harness.actionsOf<SendTry>().empty());
        CHECK(harness.finalAnswerCount() == 0);
    }
    harness.advance(milliseconds(1000));
    CHECK(harness.actionsOf<SendTry>().empty());
    CHECK(harness.finalAnswerCount() == 0);
    harness.updateWorkers({test::EngineHarness::workerEntry(1, WorkerState::draining)},
                          WorkerListKind::delta);
    CHECK(harness.actionsOf<SendTry>().empty());
    harness.handle(WorkerListUsableChanged{true});
    harness.endCounterRequests(Outcome::answered, 1);
    const auto tries = harness.actionsOf<SendTry>();
    CHECK(tries.size() == 4);
    for (const SendTry &sent : tries) CHECK(sent.worker != WorkerId{1});
    harness.advance(milliseconds(1000));
    CHECK(harness.actionsOf<SendTry>().empty());
}

TEST_CASE("issue 29: a call that waits for the list is rate-limited after half of its time") {
    test::EngineHarness harness;
    harness.setWorkerCount(2).handle(WorkerListUsableChanged{false});
    harness.receiveCall(1, 0, 0, 1, milliseconds(1000)).advance(milliseconds(400));
    CHECK(harness.finalAnswerCount() == 0);
    harness.advance(milliseconds(100));
    CHECK(harness.actionsOf<AnswerRateLimited>().size() == 1);
    harness.handle(WorkerListUsableChanged{true});
    CHECK(harness.actionsOf<SendTry>().empty());
    CHECK(harness.finalAnswerCount() == 0);
}

TEST_CASE("issue 29: a call whose client has gone while it waited for the list is never sent") {
    test::EngineHarness harness;
    harness.setWorkerCount(2).handle(WorkerListUsableChanged{false});
    harness.receiveCall(1).handle(CallAbandoned{CallId{1}}).handle(WorkerListUsableChanged{true});
    CHECK(harness.actions.empty());
}

TEST_CASE("issue 29: retries and calls held for the counter wait for the list too") {
    test::EngineHarness harness;
    harness.setWorkerCount(2).receiveCall(1);
    const WorkerId worker = harness.actionsOf<SendTry>().at(0).worker;
    harness.handle(WorkerListUsableChanged{false});
    harness.endTry(1, 0, worker, Outcome::connectFailed).advance(milliseconds(100));
    CHECK(harness.actionsOf<SendTry>().empty());
    CHECK(harness.finalAnswerCount() == 0);
    harness.handle(WorkerListUsableChanged{true});
    CHECK(harness.actionsOf<SendTry>().size() == 1);

    // The cap of plan 2 is reached, so the third call is held until the counter has counted its try.
    test::EngineHarness capped;
    capped.setWorkerCount(2).receiveCall(1, 0, 2).endCounterRequests(Outcome::answered, 2);
    capped.receiveCall(2, 0, 2).receiveCall(3, 0, 2);
    const auto request = capped.actionsOf<AddToCount>();
    capped.handle(WorkerListUsableChanged{false});
    for (const AddToCount &counted : request)
        capped.handle(AddToCountEnded{counted.name, Outcome::answered, 1, milliseconds(2)});
    CHECK(capped.actionsOf<SendTry>().empty());
    capped.advance(milliseconds(500));
    CHECK(capped.actionsOf<SendTry>().empty());
}
