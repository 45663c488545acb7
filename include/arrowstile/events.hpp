/// \file
/// Events: the input of the decision engine. The caller observes them (on sockets, in a simulator) and passes
/// them to DecisionEngine::handle, which returns actions (see actions.hpp).
#pragma once

#include <arrowstile/ids.hpp>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace arrowstile {

/// State of a worker in discovery. Only ready workers receive new tries. The simulator's adapter reads these
/// values as numbers; their order must not change.
enum class WorkerState : std::uint8_t { gone, ready, draining };

/// What a WorkerListUpdated holds. The simulator's adapter reads these values as numbers; their order must
/// not change.
enum class WorkerListKind : std::uint8_t {
    delta,     ///< only the workers that changed
    failed,    ///< nothing: the list could not be fetched
    snapshot,  ///< the whole list; workers that aren't in it are gone
    cached     ///< a whole list from an earlier run, used until discovery answers
};

/// One worker in discovery's list.
struct WorkerEntry {
    WorkerId worker;
    ZoneId zone;
    WorkerTypeId type;  ///< not used by the current engine
    WorkerGroupId group;
    WorkerState state{};
    double weight = 1;      ///< relative weight from discovery; not used by the current engine
    Timestamp startedAt{};  ///< start of the worker's process; zero: unknown, treated as warm
};

/// The list of workers was received, or could not be fetched.
struct WorkerListUpdated {
    WorkerListKind kind{};
    std::uint64_t version = 0;  ///< discovery's version of the list; not used by the current engine
    std::vector<WorkerEntry> workers;
};

/// Whether calls may be sent by the present list of workers, see worker_list_freshness.hpp. They may until
/// the first event of this kind.
struct WorkerListUsableChanged {
    bool isUsable = true;
};

/// A client sent an API call. The engine owes it one final answer, see actions.hpp.
struct CallReceived {
    CallId call;
    RouteId route;
    PlanId plan;
    CustomerId customer;
    double units = 1;                 ///< cost of the call in units of the customer's quota
    unsigned gatewaySubsetSize = 1;   ///< number of gateways over which this customer's calls are spread
    unsigned gatewaySubsetStart = 0;  ///< index of the first of them; not used by the current engine
    Duration timeRemaining{};         ///< until the client stops waiting
    bool isClientRetry = false;       ///< the client repeats an earlier call; not used by the current engine
    bool isWrite = false;             ///< not used by the current engine
};

/// How a try, a probe or a request to the counter ended.
enum class Outcome : std::uint8_t {
    answered,       ///< a valid reply
    errored,        ///< an error reply, or one that can't be parsed
    overloaded,     ///< rejected without any effect, because the other side is at its limit
    timedOut,       ///< no reply in time; it may have had an effect
    connectFailed,  ///< not delivered: no connection, or closed before the request was fully written
    reset,          ///< the connection closed before the reply; the request may have had an effect
    cancelled,      ///< ended by CancelTry; it may have had an effect
    notSent,        ///< not attempted, for example for lack of time or connections
    localFailure    ///< not delivered, because this machine could not connect; says nothing of the other side
};

/// A worker began to stream its reply to the client. From here on the reply belongs to the client, so the
/// engine neither tries the call again nor answers it.
struct TryStreamStarted {
    CallId call;
    TryNumber tryNumber;
    WorkerId worker;
    Duration latency{};  ///< not used by the current engine
};

/// An upstream try is over. Follows each SendTry once.
struct TryEnded {
    CallId call;
    TryNumber tryNumber;
    WorkerId worker;
    Outcome outcome{};
    Duration latency{};         ///< since the try was sent
    bool isCallClosed = false;  ///< the call has its final answer, or its client has gone
    /// Part of its rate that the customer used in a past period, as the worker reports it; 1 is all of it.
    /// Not used by the current engine.
    std::optional<double> rateUsedFraction;
    std::optional<double> actualUnits;  ///< cost of the call as the worker reports it, in units
    /// Load report of the worker, in the order of EngineSettings::loadColumns; empty without a report. Not
    /// used by the current engine.
    std::vector<double> load;
};

/// This call no longer needs an answer: its client disconnected, or a planned stop has answered it.
struct CallAbandoned {
    CallId call;
};

/// A timer requested by SetTimer is due.
struct TimerFired {
    TimerToken token;
};

/// A probe requested by ProbeWorker is over. Ignored by the current engine.
struct ProbeEnded {
    WorkerId worker;
    Outcome outcome{};
    Duration latency{};        ///< since the probe was sent
    std::vector<double> load;  ///< as in TryEnded
};

/// Another gateway sent a message. Ignored by the current engine.
struct PeerMessageReceived {
    GatewayIndex from;  ///< index into the gateway program's list of peers
    std::vector<std::byte> bytes;
};

/// A request to the counter (AddToCount) is over. With the outcome `answered` the amount was added, with
/// `overloaded`, `connectFailed` and `localFailure` it was not; with all others it may have been.
struct AddToCountEnded {
    CountName name;
    Outcome outcome{};
    double total = 0;    ///< the count after the addition; valid with the outcome `answered` only
    Duration latency{};  ///< since the request was sent
};

/// Any one event.
using Event =
    std::variant<WorkerListUpdated, WorkerListUsableChanged, CallReceived, TryStreamStarted, TryEnded,
                 CallAbandoned, TimerFired, ProbeEnded, PeerMessageReceived, AddToCountEnded>;

}  // namespace arrowstile
