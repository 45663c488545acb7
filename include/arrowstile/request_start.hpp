/// \file
/// Decides whether a request to a worker may start now, or go on. Without I/O.
///
/// Whether a call may be tried is decided when the try is queued. Its first byte may be written seconds
/// later, for example when a connection comes up late, so everything that can change meanwhile is asked again
/// right before that. While a worker's machine has not taken all of the request, it is asked once more.
#pragma once

#include <array>
#include <arrowstile/engine_settings.hpp>
#include <arrowstile/events.hpp>
#include <cstddef>
#include <optional>

namespace arrowstile {

/// What must hold so that a worker recognizes the repeat of a tokened call that may have run.
struct RepeatTerms {
    Timestamp windowEndsAt{};  ///< workers recognize repeats until then
    DedupScope scope{};
    ZoneId zone;          ///< of the worker that may have run the call
    WorkerGroupId group;  ///< of the worker that may have run the call
};

/// Whether workers still recognize a repeat that is sent now, or up to the length of a suspension later.
bool isWithinRepeatWindow(const RepeatTerms &terms, Timestamp now);
/// Whether a worker is among those that recognize the repeat.
bool isWithinRepeatScope(const RepeatTerms &terms, const WorkerEntry &worker);

/// What is known of a call's client.
enum class ClientPresence : std::uint8_t {
    present,
    gone,
    /// Not known: input waits in the system that is not read for now, and behind it the client may have left.
    unknown
};

/// Why a request may not start.
enum class StartRefusal : std::uint8_t {
    callClosed,       ///< the call has its final answer
    clientGone,       ///< ClientPresence::gone
    clientUnknown,    ///< ClientPresence::unknown
    deadlinePassed,   ///< the client no longer waits
    workerNotReady,   ///< the worker drains or is gone
    processReplaced,  ///< the connection leads to another process or address of the worker
    startTooLate,     ///< a cold worker's share of work was meant for an earlier time
    windowOver,       ///< isWithinRepeatWindow() is false
    outsideScope      ///< isWithinRepeatScope() is false
};

/// Number of values of StartRefusal.
inline constexpr std::size_t kStartRefusalCount = static_cast<std::size_t>(StartRefusal::outsideScope) + 1;

/// The name of a reason, for metrics and the log.
const char *toString(StartRefusal reason);

/// All that the decision depends on, as it is now.
struct RequestStartState {
    Timestamp now{};
    bool isCallPending = false;
    ClientPresence client{};
    Timestamp deadline{};  ///< when the client stops waiting
    std::optional<Timestamp> latestStart;
    std::optional<RepeatTerms> repeat;  ///< for a repeat of a tokened call that may have run
    WorkerEntry worker;                 ///< as it is listed now
    bool isSameProcess = false;         ///< the connection leads to the worker's listed process and address
};

/// Returns why a request may not start now; nullopt if it may.
std::optional<StartRefusal> refusalToStart(const RequestStartState &state);

/// Returns why a request that has started, but was not taken whole by the worker's machine, may not go on;
/// nullopt if it may. What the worker's state forbids to start may go on.
std::optional<StartRefusal> refusalToContinue(const RequestStartState &state);

}  // namespace arrowstile
