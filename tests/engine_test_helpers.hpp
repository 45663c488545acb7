#pragma once

#include <arrowstile/decision_engine.hpp>

namespace arrowstile::test {

using std::chrono::milliseconds;

inline EngineSettings smallSite() {
    EngineSettings facts;
    facts.gatewayCount = 2;
    facts.mayUseCounter = facts.mayCancel = facts.maySendRetryAfter = true;
    facts.maxTries = 3;
    facts.counterTimeout = milliseconds(50);
    facts.maxRetryAfter = milliseconds(1000);
    facts.connectTimeout = milliseconds(250);
    facts.coldCapacityFraction = 0.2;
    facts.warmUp = milliseconds(10000);
    facts.coldOverloadFactor = 2;
    facts.coldOverloadWindow = milliseconds(1000);
    Route route;
    route.latencyTarget = milliseconds(1000);
    route.clientTimeout = milliseconds(4000);
    route.dedupWindow = milliseconds(2000);
    for (const Effect effect : {Effect::idempotent, Effect::tokened, Effect::nonIdempotent}) {
        route.effect = effect;
        facts.routes.push_back(route);
    }
    facts.plans.resize(4);
    facts.plans[1].rate = 5;  // plan 0 has no limit of any kind
    facts.plans[1].burst = 20;
    facts.plans[2].openCap = 2;
    facts.plans[3].ceilingRate = 10;
    facts.plans[3].ceilingBurst = 20;
    return facts;
}

/// A gatekeeper with a clock, and what it did last.
struct Desk {
    explicit Desk(const EngineSettings &facts = smallSite()) : keeper(facts, 7) {}

    template <class Kind>
    std::vector<Kind> all() const {
        std::vector<Kind> found;
        for (const Action &action : actions) {
            if (const auto *kind = std::get_if<Kind>(&action)) found.push_back(*kind);
        }
        return found;
    }

    Desk &tell(const Event &event) {
        actions = keeper.handle(now, event);
        return *this;
    }

    Desk &list(std::vector<WorkerEntry> workers, WorkerListKind how = WorkerListKind::snapshot) {
        return tell(WorkerListUpdated{how, 1, std::move(workers)});
    }

    Desk &workers(unsigned count) {
        std::vector<WorkerEntry> entries;
        for (unsigned i = 1; i <= count; ++i) entries.push_back(worker(i));
        return list(std::move(entries));
    }

    static WorkerEntry worker(unsigned id, WorkerState state = WorkerState::ready, Timestamp startedAt = {}) {
        return {WorkerId{id}, {}, {}, WorkerGroupId{static_cast<std::uint16_t>(id)}, state, 1, startedAt};
    }

    Desk &call(std::uint64_t id, unsigned route = 0, unsigned plan = 0, double units = 1,
               Duration left = milliseconds(4000)) {
        CallReceived taken;
        taken.call = {id};
        taken.route.value = static_cast<std::uint8_t>(route);
        taken.plan.value = static_cast<std::uint16_t>(plan);
        taken.customer = {9};
        taken.units = units;
        taken.gatewaySubsetSize = 2;
        taken.timeRemaining = left;
        return tell(taken);
    }

    Desk &ended(std::uint64_t id, unsigned attempt, WorkerId worker, Outcome outcome, bool closed = false,
                Duration latency = milliseconds(20)) {
        TryEnded end;
        end.call = {id};
        end.tryNumber.value = static_cast<std::uint8_t>(attempt);
        end.worker = worker;
        end.outcome = outcome;
        end.latency = latency;
        end.isCallClosed = closed;
        return tell(end);
    }

    /// Answers each call to the counter, and those that follow from the answers.
    Desk &answerCounts(Outcome outcome, double total) {
        std::vector<Action> seen = actions;
        for (auto adds = all<AddToCount>(); !adds.empty();) {
            std::vector<AddToCount> more;
            for (const AddToCount &add : adds) {
                tell(AddToCountEnded{add.name, outcome, total, milliseconds(2)});
                seen.insert(seen.end(), actions.begin(), actions.end());
                for (const AddToCount &next : all<AddToCount>()) more.push_back(next);
            }
            adds = more;
        }
        actions = seen;
        return *this;
    }

    /// Lets time pass in ticks of the gatekeeper's own timer; what it does meanwhile is kept together.
    Desk &pass(Duration span, Duration step = milliseconds(10)) {
        std::vector<Action> seen;
        for (const Timestamp end = now + span; now < end;) {
            now += step;
            tell(TimerFired{TimerToken{1}});
            seen.insert(seen.end(), actions.begin(), actions.end());
        }
        actions = seen;
        return *this;
    }

    std::size_t finals() const { return all<AnswerRateLimited>().size() + all<AnswerErrored>().size(); }

    DecisionEngine keeper;
    Timestamp now = milliseconds(1000);
    std::vector<Action> actions;
};

}  // namespace arrowstile::test
