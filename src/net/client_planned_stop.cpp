/// \file
/// The planned stop of ClientConnections: closes connections as their clients have their answers.
#include <algorithm>

#include "client_connection.hpp"

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

/// Length of the first phase of a planned stop, in which no connection is closed for being idle. New
/// connections still arrive for a while, so a client whose connection is closed would only come back.
constexpr Duration kStopDelay = milliseconds(500);
/// After the first phase, the listening socket is closed once no client has connected for this long.
constexpr Duration kNoNewClientPeriod = milliseconds(200);
/// The listening socket is closed this long after the start of a planned stop, even if clients still connect.
/// Ordinary clients stop connecting after about half a second; clients that connect without end must not hold
/// up the stop.
constexpr Duration kMaxAcceptPeriod = milliseconds(900);
constexpr Duration kStopPollInterval = milliseconds(20);

// The process is killed 0.7 s after the longest client timeout at the earliest, where that timeout counts as
// 3 s at most, and the planned stop ends before that unless answers are still being fetched. Single clients
// may wait for longer, so calls can still be pending kStopMargin after the timeout. They are answered then.
constexpr Duration kMaxClientTimeout = milliseconds(3000);
constexpr Duration kStopMargin = milliseconds(550);
/// How long clients have to fetch the last answers once the system has taken them.
constexpr Duration kFinalAnswerPeriod = milliseconds(60);
/// How long the stop waits for a client that takes none of the answers that are ready for it.
constexpr Duration kFinalFetchTimeout = milliseconds(1000);

}  // namespace

void ClientConnections::beginPlannedStop() {
    if (std::exchange(isStopping_, true)) return;
    stopStartedAt_ = context_.clock.now();
    context_.timers.schedule(stopStartedAt_ + kStopDelay, [this] { continuePlannedStop(); });
}

/// Answers all pending calls, because the process ends before their clients stop waiting. A try of a call may
/// be in flight, so the answer is errored, which does not say whether the call ran; a call that got no answer
/// at all would be lost.
void ClientConnections::answerRemainingCalls() {
    for (const auto &[id, connection] : connections_) {
        for (const CallId call : pendingCalls_.callsOf(id)) {
            sendAnswer(*pendingCalls_.remove(call), encodeErroredAnswer());
            ++context_.metrics.callsErrored;
            context_.pendingEvents.emplace_back(CallAbandoned{call});
        }
    }
}

/// Closes all connections kFinalAnswerPeriod after the last answer was handed to the system, and not before
/// the clients' machines have confirmed them. A client that takes nothing for kFinalFetchTimeout is not
/// waited for.
void ClientConnections::closeAnsweredConnections(Timestamp now) {
    bool isConfirming = false;
    for (const auto &[id, connection] : connections_) {
        if (connection->timeWithoutFetching(now) > kFinalFetchTimeout) continue;
        if (connection->hasAnswersToSend()) lastOwedAt_ = now;
        isConfirming = isConfirming || connection->isOwedAnswers();
    }
    if (isConfirming || now - lastOwedAt_ <= kFinalAnswerPeriod) return;
    closeListener();
    connections_.clear();
}

/// The longest time for which clients wait for an answer, as far as it counts for the planned stop.
Duration ClientConnections::longestClientTimeout() const {
    Duration longestTimeout{};
    for (const Route &route : context_.startDocument.settings.engine.routes)
        longestTimeout = std::max(longestTimeout, route.clientTimeout);
    return std::min(longestTimeout, kMaxClientTimeout);
}

/// Runs every kStopPollInterval in a planned stop, until all connections are closed. A client that keeps its
/// side open after the gateway has closed its own is not waited for beyond kCloseGracePeriod.
void ClientConnections::continuePlannedStop() {
    const Timestamp now = context_.clock.now();
    const Duration stoppingFor = now - stopStartedAt_;
    isClosingIdle_ = true;
    if (now - lastAcceptedAt_ > kNoNewClientPeriod || stoppingFor > kMaxAcceptPeriod) closeListener();
    std::erase_if(connections_, [&](const auto &entry) {
        Connection &connection = *entry.second;
        // From the start on, so that at the end a client that has taken nothing all the time holds up nobody.
        connection.timeWithoutFetching(now);
        if (connection.isWriteShutdown) return now - connection.lastActiveAt > kCloseGracePeriod;
        if (connection.isIdle()) connection.shutdownWrite(now);
        return false;
    });
    const Duration answerAfter = longestClientTimeout() + kStopMargin;
    if (stoppingFor > answerAfter) {
        lastOwedAt_ = std::max(lastOwedAt_, stopStartedAt_ + answerAfter);
        answerRemainingCalls();
        closeAnsweredConnections(now);
    }
    if (!isStopped()) context_.timers.schedule(now + kStopPollInterval, [this] { continuePlannedStop(); });
}

}  // namespace arrowstile
