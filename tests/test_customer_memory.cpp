/// \file
/// Tests of the decision engine's bound on the customers that it remembers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "engine_test_helpers.hpp"

using namespace arrowstile;
using namespace arrowstile::test;

namespace {

constexpr unsigned kQuotaPlan = 1;    // 5 units a second, burst 20
constexpr unsigned kCeilingPlan = 3;  // 10 units a second, burst 20, of which this gateway has a half

EngineSettings settingsWithCustomers(std::size_t maxCustomers) {
    EngineSettings settings = testEngineSettings();
    settings.maxCustomers = maxCustomers;
    return settings;
}

/// Passes a new call of a customer to the engine and returns whether it was sent. A try is answered at once,
/// and so are the requests to the counter if `hasCounter`.
bool call(EngineHarness &engine, std::uint64_t customer, unsigned plan, bool hasCounter = true,
          double units = 1) {
    static std::uint64_t lastCall = 0;
    CallReceived received;
    received.call = {++lastCall};
    received.plan.value = static_cast<std::uint16_t>(plan);
    received.customer = {customer};
    received.units = units;
    received.gatewaySubsetSize = 2;
    received.timeRemaining = milliseconds(4000);
    const auto tries = engine.handle(received).actionsOf<SendTry>();
    if (hasCounter) engine.endCounterRequests(Outcome::answered, units);
    for (const SendTry &sent : tries) engine.endTry(sent.call.value, 0, sent.worker, Outcome::answered, true);
    if (hasCounter) engine.endCounterRequests(Outcome::answered, units);
    return !tries.empty();
}

}  // namespace

// Guards against customers that call once and never again displacing the state of those that come back, whose
// quota would then start anew each time.
TEST_CASE("issue 44: any number of new customers is served, and one that comes back keeps its quota") {
    EngineHarness engine(settingsWithCustomers(100));
    engine.setWorkerCount(4);
    std::size_t sentCount = 0;
    int ownCount = 0;
    for (std::uint64_t index = 0; index < 2000; ++index) {
        sentCount += call(engine, 1000 + index, kQuotaPlan);
        ownCount += call(engine, 7, kQuotaPlan, true, 2);
        engine.advance(milliseconds(5), milliseconds(5)).endCounterRequests(Outcome::answered, 1);
    }
    CHECK(sentCount > 1900);
    // 10 s at 5 units a second and a burst of 20, in calls of 2 units, and some for the estimate.
    CHECK(ownCount < 50);
    CHECK(ownCount > 10);
}

// Guards against memory that grows with customers whose use the counter does not take.
TEST_CASE("issue 44: a customer whose use is not reported yet is not forgotten for another") {
    EngineHarness engine(settingsWithCustomers(100));
    engine.setWorkerCount(4);
    std::size_t sentCount = 0;
    for (std::uint64_t index = 0; index < 300; ++index) sentCount += call(engine, index, kQuotaPlan, false);
    CHECK(sentCount == 100);
}

// Guards against the customers in use being displaced, one by one, by new ones that can't be forgotten yet.
TEST_CASE("issue 44: a customer that has come back keeps its place while new ones find none") {
    EngineHarness engine(settingsWithCustomers(20));
    engine.setWorkerCount(4);
    for (int remaining = 3; remaining > 0; --remaining) CHECK(call(engine, 7, kQuotaPlan));
    for (std::uint64_t index = 100; index < 300; ++index) call(engine, index, kQuotaPlan, false);
    CHECK(call(engine, 7, kQuotaPlan, false));
}

// Guards against a ceiling that is passed because a customer's share is forgotten and starts full again.
TEST_CASE("issue 44: no number of customers makes a gateway pass its share of a ceiling") {
    EngineHarness engine(settingsWithCustomers(50));
    engine.setWorkerCount(4);
    engine.advance(milliseconds(5000));
    double sentUnits = 0;
    for (std::uint64_t round = 0; round < 200; ++round) {
        sentUnits += call(engine, 7, kCeilingPlan, true, 10) ? 10 : 0;
        for (std::uint64_t index = 0; index < 100; ++index) {
            engine.now += Duration{100};
            call(engine, 1000 + round * 100 + index, kCeilingPlan);
        }
    }
    CHECK(sentUnits > 0);
    CHECK(sentUnits <= 10 + 2 * 5);  // half of the burst, and 2 s at half of the rate
}

// Guards against customers without limits taking the memory of those with limits.
TEST_CASE("issue 44: customers of a plan without limits are not remembered") {
    EngineHarness engine(settingsWithCustomers(2));
    engine.setWorkerCount(4);
    for (std::uint64_t index = 0; index < 100; ++index) CHECK(call(engine, index, 0, false));
    CHECK(call(engine, 1000, kQuotaPlan, false));
}
