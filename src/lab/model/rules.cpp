#include "rules.hpp"

#include <optional>
#include <utility>

namespace arrowstile::lab {
namespace {

/// State of a call during the check.
struct CallState {
    Timestamp deadline{};
    unsigned gateway = 0;
    unsigned answerCount = 0;
    unsigned runCount = 0;
    int openTries = 0;
    bool isNonIdempotent = false;
    bool isExempt = false;  // its gateway was killed: it needn't be answered, or in time
};

std::string describe(const char *rule, std::uint64_t call, Timestamp at, const char *what) {
    return std::string(rule) + ": call " + std::to_string(call) + " at " + std::to_string(at.count() / 1000) +
           " ms, " + what;
}

}  // namespace

std::vector<std::string> findRuleViolations(const std::vector<TraceEvent> &trace, const RuleLimits &limits,
                                            Timestamp end) {
    std::vector<std::string> violations;
    std::map<std::uint64_t, CallState> calls;
    // By gateway and node: when the gateway was first notified that the node isn't ready.
    std::map<std::pair<unsigned, std::uint64_t>, Timestamp> notReadySince;
    for (const TraceEvent &event : trace) {
        CallState &call = calls[event.call];
        switch (event.kind) {
            case TraceEventKind::callReceived:
                call = {event.at + event.timeRemaining, event.gateway, 0, 0, 0, event.isNonIdempotent, false};
                break;
            case TraceEventKind::trySent: {
                if (++call.openTries > 1)
                    violations.push_back(describe("one try", event.call, event.at, "a second try is out"));
                const auto found = notReadySince.find({event.gateway, event.node});
                if (found != notReadySince.end() && event.at > found->second + limits.drainGrace)
                    violations.push_back(
                        describe("drains", event.call, event.at, "sent to a node told to drain"));
                break;
            }
            case TraceEventKind::tryEnded: --call.openTries; break;
            case TraceEventKind::callRun:
                if (++call.runCount > 1 && call.isNonIdempotent)
                    violations.push_back(describe("effects", event.call, event.at, "ran a second time"));
                break;
            case TraceEventKind::callAnswered:
                if (++call.answerCount > 1)
                    violations.push_back(describe("answers", event.call, event.at, "a second answer"));
                if (event.at > call.deadline + limits.answerSlack && !call.isExempt)
                    violations.push_back(describe("answers", event.call, event.at, "answered too late"));
                break;
            case TraceEventKind::nodeNotReady:
                notReadySince.try_emplace({event.gateway, event.node}, event.at);
                break;
            case TraceEventKind::gatewayKilled:
                for (auto &[id, state] : calls)
                    state.isExempt = state.isExempt || state.gateway == event.gateway;
                // Notifications to the killed gateway don't count for the one that starts in its place.
                std::erase_if(notReadySince,
                              [&](const auto &entry) { return entry.first.first == event.gateway; });
                break;
        }
    }
    calls.erase(0);  // the entry of events that concern no call
    for (const auto &[id, call] : calls)
        if (call.answerCount == 0 && !call.isExempt && call.deadline + limits.answerSlack < end)
            violations.push_back(describe("answers", id, call.deadline, "never answered"));
    return violations;
}

}  // namespace arrowstile::lab
