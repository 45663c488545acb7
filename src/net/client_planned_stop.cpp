/// \file
/// The planned stop of ClientConnections: carries out what PlannedStop and ConnectionDrain decide, and tells
/// in the log how it goes.
#include <algorithm>

#include "client_connection.hpp"

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStopPollInterval = milliseconds(10);
/// While connections are left, the log says this often what they wait for.
constexpr Duration kStopLogInterval = milliseconds(500);

Duration::rep toMilliseconds(Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

void ClientConnections::beginPlannedStop() {
    if (stop_) return;
    const Timestamp now = context_.clock.now();
    stop_.emplace(now, longestClientTimeout());
    nextStopLogAt_ = now + kStopLogInterval;
    context_.log.info("stopping: ", connections_.size(), " connections, ", pendingCalls_.size(),
                      " calls pending");
    context_.timers.schedule(now + kStopPollInterval, [this] { continuePlannedStop(); });
}

/// The longest time for which clients wait for an answer.
Duration ClientConnections::longestClientTimeout() const {
    Duration longestTimeout{};
    for (const Route &route : context_.startDocument.settings.engine.routes)
        longestTimeout = std::max(longestTimeout, route.clientTimeout);
    return longestTimeout;
}

/// Runs every kStopPollInterval in a planned stop, until all connections are closed. A client that keeps its
/// side open after the gateway has closed its own is not waited for beyond kCloseGracePeriod.
void ClientConnections::continuePlannedStop() {
    const Timestamp now = context_.clock.now();
    if (listener_ && stop_->mustCloseListener(now, lastAcceptedAt_)) stopAccepting(now);
    for (const auto &[id, connection] : connections_) continueDrain(*connection, now);
    std::erase_if(connections_, [&](const auto &entry) {
        const Connection &connection = *entry.second;
        return connection.isWriteShutdown && now - connection.lastActiveAt > kCloseGracePeriod;
    });
    if (stop_->mustAnswerPendingCalls(now)) answerPendingCalls(now);
    if (pendingAnsweredAt_ && stop_->mustEnd(now, *pendingAnsweredAt_)) endRemainingConnections();
    if (now >= nextStopLogAt_ && !isStopped()) logRemainingConnections(now);
    if (!isStopped()) context_.timers.schedule(now + kStopPollInterval, [this] { continuePlannedStop(); });
}

/// Closes the listener. Clients that the system has accepted by now may have sent calls, so they are taken in
/// first.
void ClientConnections::stopAccepting(Timestamp now) {
    while (listener_->acceptWaiting()) {
    }
    if (deferredClient_ && !stop_->mayLeaveClientsWaiting(now)) return;
    closeListener();
    context_.log.info("stop: no connection is accepted any more, ", toMilliseconds(now - stop_->begunAt()),
                      " ms after its begin");
}

void ClientConnections::continueDrain(Connection &connection, Timestamp now) {
    connection.continueDrain(now, stop_->drainStart(connection.acceptedAt));
}

/// Answers all pending calls, because the process ends before their clients stop waiting. A try of a call may
/// be in flight, so the answer is errored, which does not say whether the call ran; a call that got no answer
/// at all would be lost.
void ClientConnections::answerPendingCalls(Timestamp now) {
    std::size_t answeredCount = 0;
    for (const auto &[id, connection] : connections_) {
        for (const CallId call : pendingCalls_.callsOf(id)) {
            sendAnswer(*pendingCalls_.remove(call), encodeErroredAnswer());
            context_.pendingEvents.emplace_back(CallAbandoned{call});
            ++answeredCount;
        }
    }
    context_.metrics.callsErrored += answeredCount;
    context_.metrics.stopCallsErrored += answeredCount;
    if (answeredCount > 0) context_.log.info("stop: ", answeredCount, " pending calls answered as errored");
    if (answeredCount > 0 || !pendingAnsweredAt_) pendingAnsweredAt_ = now;
}

/// Closes all connections, because the process has to end now.
void ClientConnections::endRemainingConnections() {
    closeListener();
    for (const auto &[id, connection] : connections_) {
        const bool isCut = connection->isOwedAnswers() && !connection->isWriteShutdown;
        context_.metrics.stopConnectionsCut += isCut;
    }
    connections_.clear();
}

/// Writes what the connections that are left wait for. Each is counted once, by the first reason that holds.
void ClientConnections::logRemainingConnections(Timestamp now) {
    nextStopLogAt_ = now + kStopLogInterval;
    std::size_t awaiting = 0, unfetched = 0, unread = 0, incomplete = 0, closing = 0, inUse = 0;
    for (const auto &[id, connection] : connections_) {
        if (connection->isWriteShutdown)
            ++closing;
        else if (connection->answerQueue.unansweredCount() > 0)
            ++awaiting;
        else if (connection->isOwedAnswers())
            ++unfetched;
        else if (connection->tcp->hasUnreadInput())
            ++unread;
        else if (connection->incompleteCommandBytes > 0)
            ++incomplete;
        else
            ++inUse;
    }
    context_.log.info("stop: after ", toMilliseconds(now - stop_->begunAt()), " ms ", connections_.size(),
                      " connections are left (", awaiting, " await answers, ", unfetched,
                      " have answers to fetch, ", unread, " have unread input, ", incomplete,
                      " sent half a command, ", inUse, " are not drained yet, ", closing,
                      " are ended and not closed by the client), ", pendingCalls_.size(), " calls pending, ",
                      context_.metrics.stopCallsRefused, " calls refused so far");
}

void ClientConnections::logEndOfStop() const {
    const Metrics &metrics = context_.metrics;
    context_.log.info("stopped after ", toMilliseconds(context_.clock.now() - stop_->begunAt()),
                      " ms: ", metrics.stopConnectionsEnded, " connections drained, ",
                      metrics.stopConnectionsCut, " cut, ", metrics.stopCallsRefused, " calls refused, ",
                      metrics.stopCallsErrored, " answered as errored");
}

}  // namespace arrowstile
