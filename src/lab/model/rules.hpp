/// \file
/// Checks of the rules that gateways have to keep, made on the trace of a simulated run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "event_queue.hpp"

namespace arrowstile::lab {

/// What a TraceEvent records.
enum class TraceEventKind : std::uint8_t {
    callReceived,  ///< a gateway received a call
    trySent,       ///< a gateway sent a try to a node
    tryEnded,      ///< the gateway's try is over
    callRun,       ///< a node ran the call, so that the call had its effect
    callAnswered,  ///< a gateway gave a call's final answer
    nodeNotReady,  ///< a gateway was notified that a node is draining or gone
    gatewayKilled
};

/// One event of a run, as observed outside the gateways: at their clients, nodes and discovery.
struct TraceEvent {
    Timestamp at{};
    TraceEventKind kind{};
    unsigned gateway = 0;
    std::uint64_t call = 0;        ///< 0: the event concerns no call
    std::uint64_t node = 0;        ///< 0: the event concerns no node
    Duration timeRemaining{};      ///< callReceived only: until the client stops waiting
    bool isNonIdempotent = false;  ///< callReceived only: the call must not run twice
};

/// Tolerances of the rules.
struct RuleLimits {
    Duration answerSlack{};  ///< how much later than the client's timeout an answer may come
    Duration drainGrace{};   ///< how long after nodeNotReady a gateway may still send tries to the node
};

/// Checks a trace, whose events must be in order of time, and returns one line for each violation. It uses no
/// state of the gateways. `end` is the time at which the run ended. Each line starts with the name of the
/// rule:
/// - "answers": each call gets exactly one final answer, within the client's timeout plus answerSlack. Calls
///   of a killed gateway may stay unanswered or be answered late.
/// - "effects": a non-idempotent call runs at most once.
/// - "drains": no try is sent to a node later than drainGrace after the gateway was notified that the node is
///   draining or gone.
/// - "one try": the tries of a call don't overlap.
std::vector<std::string> findRuleViolations(const std::vector<TraceEvent> &trace, const RuleLimits &limits,
                                            Timestamp end);

}  // namespace arrowstile::lab
