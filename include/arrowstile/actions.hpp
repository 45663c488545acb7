/// \file
/// Actions: the output of the decision engine. DecisionEngine::handle returns them, and the caller carries
/// them out in that order. Their results are passed back as events (see events.hpp).
///
/// Each API call gets one final answer. It is proxied, which is the answered try itself, or rate-limited
/// (AnswerRateLimited), or errored (AnswerErrored).
#pragma once

#include <arrowstile/ids.hpp>
#include <arrowstile/request_start.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arrowstile {

/// Sends the call to a worker. Ends with TryEnded, as notSent if refusalToStart() forbids it by the time at
/// which the request could be written.
struct SendTry {
    CallId call;
    WorkerId worker;
    Timestamp deadline{};                    ///< without a reply by then, the try ends as timed out
    std::optional<RepeatTerms> repeat{};     ///< set if the call may have run and is tokened
    std::optional<Timestamp> latestStart{};  ///< set for cold workers
};

/// Final answer: rate-limited. Guarantees to the client that repeating the call does no harm.
struct AnswerRateLimited {
    CallId call;
    std::optional<Duration> retryAfter;  ///< how long the client should wait before it retries
};

/// Final answer: errored. Promises nothing: the call may have run or not.
struct AnswerErrored {
    CallId call;
};

/// Gives up a try in flight. It ends as `cancelled`, and the worker may still run the call.
struct CancelTry {
    CallId call;
    TryNumber tryNumber;
};

/// Requests TimerFired with this token at the given time.
struct SetTimer {
    Timestamp due{};
    TimerToken token;
};

/// Asks a worker for its load, or whether it replies at all. Ends with ProbeEnded. Not produced by the
/// current engine.
struct ProbeWorker {
    WorkerId worker;
};

/// Closes all idle connections to a worker. Not produced by the current engine.
struct CloseIdleConnections {
    WorkerId worker;
};

/// Sends a message to other gateways, without any guarantee of delivery. Not produced by the current engine.
struct SendPeerMessage {
    std::optional<GatewayIndex> peer;  ///< index into the gateway program's list of peers; nullopt: all
    std::vector<std::byte> bytes;
};

/// Adds to a count on the counter service, and reads its total. Ends with AddToCountEnded.
struct AddToCount {
    CountName name;
    double amount = 0;    ///< may be negative; 0 only reads the total
    Duration lifetime{};  ///< after which the counter deletes the count, if this request creates it
    Duration timeout{};   ///< for the reply; ignored by adapters whose counter has a timeout of its own
};

/// Starts or stops watching discovery's list of workers. Not produced by the current engine.
struct WatchWorkerList {
    bool enabled = true;
};

/// Fetches the whole list of workers from discovery. Not produced by the current engine.
struct FetchWorkerList {};

/// Writes a line to the log. Not produced by the current engine.
struct WriteLog {
    std::string text;
};

/// Any one action.
using Action = std::variant<SendTry, AnswerRateLimited, AnswerErrored, CancelTry, SetTimer, ProbeWorker,
                            CloseIdleConnections, SendPeerMessage, AddToCount, WatchWorkerList,
                            FetchWorkerList, WriteLog>;

}  // namespace arrowstile
