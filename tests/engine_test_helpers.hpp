/// \file
/// Helpers for tests of the decision engine: settings of a small deployment, and a harness that feeds events
/// to an engine and keeps the actions it returns.
#pragma once

#include <arrowstile/decision_engine.hpp>

namespace arrowstile::test {

using std::chrono::milliseconds;

/// Settings for two gateways (this one has index 0) with three routes and four plans.
/// Routes: 0 is idempotent, 1 is tokened, 2 is non-idempotent; all have the same times.
/// Plans: 0 has no limits; 1 has a quota of 5 units a second with a burst of 20; 2 has an open cap of 2
/// tries; 3 has a ceiling of 10 units a second with a burst of 20.
inline EngineSettings testEngineSettings() {
    EngineSettings settings;
    settings.gatewayCount = 2;
    settings.mayUseCounter = settings.mayCancel = settings.maySendRetryAfter = true;
    settings.maxTries = 3;
    settings.counterTimeout = milliseconds(50);
    settings.maxRetryAfter = milliseconds(1000);
    settings.connectTimeout = milliseconds(250);
    settings.coldCapacityFraction = 0.2;
    settings.warmUp = milliseconds(10000);
    settings.coldOverloadFactor = 2;
    settings.coldOverloadWindow = milliseconds(1000);
    Route route;
    route.latencyTarget = milliseconds(1000);
    route.clientTimeout = milliseconds(4000);
    route.dedupWindow = milliseconds(2000);
    for (const Effect effect : {Effect::idempotent, Effect::tokened, Effect::nonIdempotent}) {
        route.effect = effect;
        settings.routes.push_back(route);
    }
    settings.plans.resize(4);
    settings.plans[1].rate = 5;
    settings.plans[1].burst = 20;
    settings.plans[2].openCap = 2;
    settings.plans[3].ceilingRate = 10;
    settings.plans[3].ceilingBurst = 20;
    return settings;
}

/// An engine under test with its clock and the actions it returned last. The functions that feed events to
/// the engine replace `actions` and return the harness, so that calls can be chained.
struct EngineHarness {
    explicit EngineHarness(const EngineSettings &settings = testEngineSettings()) : engine(settings, 7) {}

    /// The actions of one kind in `actions`, in their order.
    template <class Kind>
    std::vector<Kind> actionsOf() const {
        std::vector<Kind> found;
        for (const Action &action : actions) {
            if (const auto *kind = std::get_if<Kind>(&action)) found.push_back(*kind);
        }
        return found;
    }

    /// Passes an event to the engine at the time `now`.
    EngineHarness &handle(const Event &event) {
        actions = engine.handle(now, event);
        return *this;
    }

    /// Delivers a list of workers.
    EngineHarness &updateWorkers(std::vector<WorkerEntry> workers,
                                 WorkerListKind kind = WorkerListKind::snapshot) {
        return handle(WorkerListUpdated{kind, 1, std::move(workers)});
    }

    /// Delivers a snapshot of `count` ready, warm workers with the ids 1 to `count`.
    EngineHarness &setWorkerCount(unsigned count) {
        std::vector<WorkerEntry> entries;
        for (unsigned i = 1; i <= count; ++i) entries.push_back(workerEntry(i));
        return updateWorkers(std::move(entries));
    }

    /// An entry of a list of workers. Each worker is in a group of its own. Without `startedAt` the worker
    /// counts as warm.
    static WorkerEntry workerEntry(unsigned id, WorkerState state = WorkerState::ready,
                                   Timestamp startedAt = {}) {
        return {WorkerId{id}, {}, {}, WorkerGroupId{static_cast<std::uint16_t>(id)}, state, 1, startedAt};
    }

    /// A call of customer 9, whose calls are spread over two gateways, arrives. `units` is the cost of the
    /// call; `timeRemaining` is the time until the client stops waiting.
    EngineHarness &receiveCall(std::uint64_t id, unsigned route = 0, unsigned plan = 0, double units = 1,
                               Duration timeRemaining = milliseconds(4000)) {
        CallReceived received;
        received.call = {id};
        received.route.value = static_cast<std::uint8_t>(route);
        received.plan.value = static_cast<std::uint16_t>(plan);
        received.customer = {9};
        received.units = units;
        received.gatewaySubsetSize = 2;
        received.timeRemaining = timeRemaining;
        return handle(received);
    }

    /// A try of a call ends. `tryNumber` is counted from 0; `latency` is the time since the try was sent.
    EngineHarness &endTry(std::uint64_t callId, unsigned tryNumber, WorkerId worker, Outcome outcome,
                          bool isCallClosed = false, Duration latency = milliseconds(20)) {
        TryEnded ended;
        ended.call = {callId};
        ended.tryNumber.value = static_cast<std::uint8_t>(tryNumber);
        ended.worker = worker;
        ended.outcome = outcome;
        ended.latency = latency;
        ended.isCallClosed = isCallClosed;
        return handle(ended);
    }

    /// Ends each request to the counter in `actions`, and each that the engine sends in response, with the
    /// same outcome and total. Afterwards `actions` holds the earlier actions and those of the responses.
    EngineHarness &endCounterRequests(Outcome outcome, double total) {
        std::vector<Action> collected = actions;
        for (auto requests = actionsOf<AddToCount>(); !requests.empty();) {
            std::vector<AddToCount> followUps;
            for (const AddToCount &request : requests) {
                handle(AddToCountEnded{request.name, outcome, total, milliseconds(2)});
                collected.insert(collected.end(), actions.begin(), actions.end());
                for (const AddToCount &followUp : actionsOf<AddToCount>()) followUps.push_back(followUp);
            }
            requests = followUps;
        }
        actions = collected;
        return *this;
    }

    /// Advances the clock by `duration` and fires the engine's periodic timer (token 1) after each `step`.
    /// Afterwards `actions` holds the actions of all steps.
    EngineHarness &advance(Duration duration, Duration step = milliseconds(10)) {
        std::vector<Action> collected;
        for (const Timestamp end = now + duration; now < end;) {
            now += step;
            handle(TimerFired{TimerToken{1}});
            collected.insert(collected.end(), actions.begin(), actions.end());
        }
        actions = collected;
        return *this;
    }

    /// Number of final answers in `actions`: rate-limited and errored ones. A proxied answer isn't an action;
    /// it is the reply to a try.
    std::size_t finalAnswerCount() const {
        return actionsOf<AnswerRateLimited>().size() + actionsOf<AnswerErrored>().size();
    }

    DecisionEngine engine;
    Timestamp now = milliseconds(1000);
    std::vector<Action> actions;
};

}  // namespace arrowstile::test
