/// \file
/// What one connection to a worker does with what it receives. See worker_connection.hpp.
#include "worker_connection.hpp"

namespace arrowstile {

void WorkerConnections::Connection::onOpen() {
    owner.context_.timers.cancel(connectTimer);
    isOpen = true;
    idleSince = owner.context_.clock.now();
    owner.unflushedConnections_.insert(this);
}

void WorkerConnections::Connection::onClosed(CloseReason reason) {
    const Timestamp idleUntil = inFlight ? inFlight->queuedAt : owner.context_.clock.now();
    if (isOpen && idleSince > Timestamp{} && !hasReceivedSinceIdle)
        owner.shortenIdleTimeout(idleUntil - idleSince);
    owner.closeConnection(*this, Outcome::reset, undeliveredOutcome(reason));
}

std::size_t WorkerConnections::Connection::onData(std::string_view bytes) {
    const std::size_t maxValueBytes = owner.context_.limits.maxReplyValueBytes;
    hasReceivedSinceIdle = true;
    // Input without a request belongs to no request, or to an earlier one.
    if (!inFlight || !inFlight->isWritten) return closeOnInvalidReply();
    if (!inFlight->isProbe && !mayBecomeCallReply(bytes, maxValueBytes)) return closeOnInvalidReply();
    resp::Reply reply;
    const resp::ParseResult parsed = resp::parseReply(bytes, reply, maxValueBytes);
    if (parsed == resp::ParseResult::malformed) return closeOnInvalidReply();
    if (parsed == resp::ParseResult::incomplete) {
        owner.incompleteReplyBytes_ += bytes.size() - std::exchange(incompleteReplyBytes, bytes.size());
        return 0;
    }
    if (!handleReply(reply)) return closeOnInvalidReply();
    owner.incompleteReplyBytes_ -= std::exchange(incompleteReplyBytes, 0);
    idleSince = owner.context_.clock.now();
    hasReceivedSinceIdle = false;
    const bool hasSurplus = reply.consumedBytes < bytes.size();
    // A worker may reply before it has read the whole request. The rest would be taken for the next one.
    const bool isRequestWhole = tcp->unsentBytes() == 0;
    if (!hasSurplus && isRequestWhole && owner.isUsable(*this)) return bytes.size();
    owner.closeConnection(*this, Outcome::reset);
    return 0;
}

/// Ends the request with its reply. Returns false without effect if it can't be the reply to an API call.
bool WorkerConnections::Connection::handleReply(const resp::Reply &reply) {
    const Settings &settings = owner.context_.startDocument.settings;
    WorkerReply workerReply = parseWorkerReply(reply, settings);
    if (inFlight->isProbe) {
        const bool isLoadReport = reply.kind == resp::Reply::Kind::bulk;
        if (isLoadReport) workerReply.load = parseLoadReport(reply.text, settings);
        if (isLoadReport || reply.kind == resp::Reply::Kind::status) workerReply.outcome = Outcome::answered;
    } else if (workerReply.isUnexpected) {
        return false;
    }
    if (workerReply.isSyntaxError)
        owner.context_.log.error("a worker could not read a command: ", reply.text);
    const InFlightRequest ended = owner.takeRequest(*this);
    owner.reportEnd(ended, workerReply.outcome, &workerReply);
    return true;
}

/// Closes the connection, because its input can't be matched to a request. Returns the number of bytes
/// consumed. A try on it may have run; it counts as errored, since the close says little about the worker.
std::size_t WorkerConnections::Connection::closeOnInvalidReply() {
    if (inFlight) ++owner.context_.metrics.invalidReplies;
    owner.closeConnection(*this, Outcome::errored);
    return 0;
}

}  // namespace arrowstile
