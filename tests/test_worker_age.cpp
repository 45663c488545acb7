/// \file
/// Tests of the slow start of workers where clocks are wrong: this machine's, or that of the worker.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "engine_test_helpers.hpp"

using namespace arrowstile;
using std::chrono::hours;
using std::chrono::milliseconds;
using test::EngineHarness;

namespace {

/// The true time at which each test begins. Workers state their starts in true time.
constexpr Timestamp kTrueNow = hours(1000);

/// Sends calls until no worker takes any more. Returns how many of them the worker with this id got.
std::size_t fillWorkers(EngineHarness &harness, unsigned worker) {
    std::size_t count = 0;
    for (std::uint64_t call = 1; call <= 50; ++call) {
        harness.receiveCall(call);
        for (const SendTry &sent : harness.actionsOf<SendTry>()) count += sent.worker == WorkerId{worker};
    }
    return count;
}

/// Tries that a worker gets from an idle gateway whose system clock is wrong by `clockError`. The worker has
/// started `age` before it was first listed, in the first list or, if `isListedLater`, in an update of it.
std::size_t triesAtWorker(Duration clockError, Duration age, bool isListedLater, Duration seenFor = {}) {
    EngineHarness harness;
    harness.now = kTrueNow + clockError;
    harness.setWorkerCount(1);
    if (isListedLater) harness.advance(milliseconds(60000));
    const Timestamp trueNow = harness.now - clockError;
    harness.updateWorkers({EngineHarness::workerEntry(2, WorkerState::ready, trueNow - age)},
                          WorkerListKind::delta);
    if (seenFor > Duration{}) harness.advance(seenFor);
    return fillWorkers(harness, 2);
}

/// Tries that a warm worker gets from an idle gateway.
std::size_t triesAtWarmWorker() {
    EngineHarness harness;
    harness.now = kTrueNow;
    harness.setWorkerCount(2);
    return fillWorkers(harness, 2);
}

}  // namespace

// Guards against a cold worker that is taken for a warm one, and overloaded, or a warm one that is taken for
// cold for an hour. The workers warm up in 10 s.
TEST_CASE("issue 29: the slow start of a worker does not depend on this machine's system clock") {
    const std::size_t triesWhenCold = triesAtWorker({}, {}, true);
    const std::size_t triesWhenWarm = triesAtWarmWorker();
    REQUIRE(triesWhenCold < triesWhenWarm);
    for (const Duration clockError : {Duration(hours(1)), Duration(-hours(1)), Duration(milliseconds(8000)),
                                      Duration(milliseconds(-8000))}) {
        CAPTURE(clockError.count());
        for (const bool isListedLater : {false, true}) {
            CAPTURE(isListedLater);
            CHECK(triesAtWorker(clockError, {}, isListedLater) <= triesWhenCold);
            CHECK(triesAtWorker(clockError, {}, isListedLater, milliseconds(11000)) == triesWhenWarm);
        }
    }
}

// Guards against a worker whose own clock is ahead: its start lies in the future, which says nothing about
// the others.
TEST_CASE("issue 29: a start in the future makes no other worker look warm") {
    EngineHarness harness;
    harness.now = kTrueNow;
    harness.setWorkerCount(1);
    harness.updateWorkers({EngineHarness::workerEntry(2, WorkerState::ready, kTrueNow),
                           EngineHarness::workerEntry(3, WorkerState::ready, kTrueNow + hours(1))},
                          WorkerListKind::delta);
    CHECK(fillWorkers(harness, 2) <= triesAtWorker({}, {}, true));
}

TEST_CASE("issue 29: with right clocks a started gateway knows warm and cold workers at once") {
    EngineHarness harness;
    harness.now = kTrueNow;
    harness.updateWorkers({EngineHarness::workerEntry(1),
                           EngineHarness::workerEntry(2, WorkerState::ready, kTrueNow - milliseconds(60000)),
                           EngineHarness::workerEntry(3, WorkerState::ready, kTrueNow - milliseconds(100))});
    CHECK(fillWorkers(harness, 2) == triesAtWarmWorker());
    EngineHarness other;
    other.now = kTrueNow;
    other.updateWorkers({EngineHarness::workerEntry(1),
                         EngineHarness::workerEntry(2, WorkerState::ready, kTrueNow - milliseconds(100))});
    CHECK(fillWorkers(other, 2) <= triesAtWorker({}, {}, true));
}
