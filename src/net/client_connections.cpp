#include "client_connections.hpp"

#include <unistd.h>

#include <algorithm>

#include "client_connection.hpp"

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

/// When memory is short, connections with no more of an incomplete command than this are closed last.
constexpr std::size_t kSmallIncompleteCommandBytes = 1024;

constexpr Duration kCleanupInterval = milliseconds(100);
/// Connections that are not read from are checked this often for clients that have left. Nothing may be sent
/// for a client from 100 ms after it has closed its connection on.
constexpr Duration kUnreadCheckInterval = milliseconds(20);
/// So many parts of held input are handled in an iteration of the event loop, by turns of the clients.
constexpr std::size_t kHeldPartsPerIteration = 4;
/// A client that may have left behind unread input is taken to be there for this long after all its input was
/// read last.
constexpr Duration kMaxUnseenTime = milliseconds(50);

}  // namespace

ClientConnections::ClientConnections(ServerContext &context, PendingCallTable &pendingCalls,
                                     SentRequestIds &sentRequestIds)
    : context_(context),
      pendingCalls_(pendingCalls),
      sentRequestIds_(sentRequestIds),
      answerMemory_(context.limits.maxAnswerBytes),
      heldInput_(context.limits.maxHeldInputBytes),
      commandReservations_(context.limits.maxIncompleteCommandBytes, kMaxCommandBytes) {
    context_.timers.schedule(context_.clock.now() + kCleanupInterval, [this] { closeOverdueConnections(); });
}

ClientConnections::~ClientConnections() { closeListener(); }

void ClientConnections::listen(const Address &address) {
    listener_ =
        std::make_unique<TcpListener>(context_.loop, address, context_.limits.clientReceiveBufferBytes,
                                      context_.clock, context_.timers, [this](int descriptor) {
                                          accept({descriptor, context_.lastReadAt});
                                      });
}

/// Stops to listen. Clients that were not accepted find their connections reset.
void ClientConnections::closeListener() {
    if (!listener_) return;
    listener_.reset();
    if (deferredClient_) ::close(deferredClient_->descriptor);
    deferredClient_.reset();
}

/// Closes the connection within `scope` that has been idle longest. Returns false if there is none.
/// Connections with unread input are kept, since it may be a command. Connections that have not sent an API
/// call are kept for that only until they were read once, because some of them send without end.
bool ClientConnections::evictLongestIdle(EvictionScope scope) {
    auto longestIdle = connections_.end();
    for (auto candidate = connections_.begin(); candidate != connections_.end(); ++candidate) {
        const Connection &connection = *candidate->second;
        const bool onlyNonCalling = scope == EvictionScope::nonCalling;
        if (scope != EvictionScope::all && connection.isNonCalling != onlyNonCalling) continue;
        const bool isLongerIdle =
            longestIdle == connections_.end() || connection.lastActiveAt < longestIdle->second->lastActiveAt;
        if (!isLongerIdle) continue;
        if (onlyNonCalling ? connection.isAwaitingAnswer() : !connection.isIdle()) continue;
        const bool isKeptIfUnread = !onlyNonCalling || !connection.hasBeenRead;
        if (!(isKeptIfUnread && connection.tcp->hasUnreadInput())) longestIdle = candidate;
    }
    if (longestIdle == connections_.end()) return false;
    ++context_.metrics.clientsEvicted;
    connections_.erase(longestIdle);
    return true;
}

/// Runs periodically: closes the connections for which isOverdue() is true, and those of clients that have
/// not fetched any of their answers for too long.
void ClientConnections::closeOverdueConnections() {
    const Timestamp now = context_.clock.now();
    context_.timers.schedule(now + kCleanupInterval, [this] { closeOverdueConnections(); });
    std::vector<ClientId> overdue, stalled;
    for (const auto &[id, connection] : connections_) {
        if (connection->hasWaitedTooLong(now)) refuseIncompleteCommand(*connection);
        if (connection->isOverdue(now)) overdue.push_back(id);
        if (isFetchTimedOut(connection->timeWithoutProgress(now))) stalled.push_back(id);
    }
    context_.metrics.clientsEvicted += overdue.size();
    context_.metrics.clientsStalled += stalled.size();
    for (const ClientId id : stalled) {
        context_.log.warning("a client that does not fetch its answers is let go: ",
                             connections_.at(id)->tcp->unsentBytes(), " bytes of answers unsent");
        closeConnection(id);
    }
    for (const ClientId id : overdue) closeConnection(id);
}

/// Accepts a client. At the limit on connections that have not sent an API call, one of those is closed, so
/// that any number of clients that send nothing, or only PING, never displace clients that send calls. If
/// none of those can be closed, because they have input that was never read or await an answer, the new
/// client waits. At the limit on all connections, the one that has been idle longest is closed; if none is
/// idle, the new connection is closed at once.
void ClientConnections::accept(DeferredClient client) {
    const bool isFull = nonCallingCount_ >= context_.limits.maxNonCallingClients &&
                        !evictLongestIdle(EvictionScope::nonCalling);
    deferredClient_ = isFull ? std::optional(client) : std::nullopt;
    listener_->setPaused(isFull);
    if (isFull) return;
    const bool hasRoom =
        connections_.size() < context_.limits.maxClientConnections || evictLongestIdle(EvictionScope::all);
    const ClientId id{++lastClientId_};
    lastAcceptedAt_ = context_.clock.now();
    auto connection = std::make_unique<Connection>(*this, id, lastAcceptedAt_, client.inputSince);
    connection->tcp = TcpConnection::adopt(context_.loop, client.descriptor, connection.get());
    if (!connection->tcp) return;
    ++(hasRoom ? context_.metrics.clientsAccepted : context_.metrics.clientsRejected);
    if (hasRoom) connections_.emplace(id, std::move(connection));
}

void ClientConnections::handleCommand(Connection &connection, const resp::Command &command) {
    const std::string_view commandName = command.arguments[0];
    if (isApiCallCommand(commandName)) {
        ApiCall call;
        auto error = parseApiCall(command, context_.startDocument.settings, call);
        if (error.empty() && pendingCalls_.hasRequestId(call.requestId)) error = "this id is open";
        if (error.empty() && mayHaveRunForDepartedClient(call.requestId))
            error = "a call with this id may have run";
        if (error.empty() && connection.isDraining()) {
            ++context_.metrics.callsRateLimited;
            ++context_.metrics.stopCallsRefused;
            connection.queueRefusal();
            return;
        }
        if (error.empty() &&
            pendingCalls_.textBytes() + call.textBytes() > context_.limits.maxCallTextBytes) {
            ++context_.metrics.callsRateLimited;
            connection.queueAnswer(encodeRateLimitedAnswer(std::nullopt));
            return;
        }
        if (error.empty()) {
            // The call may have arrived at any time since the sockets were last read, or earlier if its
            // connection had to wait to be accepted. That time counts as time that the client has waited.
            const Timestamp now = context_.clock.now();
            call.event.timeRemaining -= now - std::min(context_.lastReadAt, connection.unreadSince);
            const AnswerSlot slot = connection.answerQueue.reserveSlot();
            const CallReceived event = call.event;
            const CallId id = pendingCalls_.add(std::move(call), connection.id, slot);
            connection.recordApiCall();
            context_.pendingEvents.emplace_back(event);
            std::get<CallReceived>(context_.pendingEvents.back()).call = id;
            ++context_.metrics.callsTaken;
            return;
        }
        ++context_.metrics.badCommands;
        connection.queueAnswer("-ERR " + std::string(error) + "\r\n");
    } else if (commandName == "PING") {
        connection.hasSentCommand = true;
        connection.queueAnswer(isReady_ ? "+PONG\r\n" : "-LOADING not ready yet\r\n");
    } else if (commandName == "INFO") {
        connection.hasSentCommand = true;
        connection.queueAnswer(encodeProxiedAnswer(context_.metrics.toText()));
    } else {
        ++context_.metrics.badCommands;
        connection.queueAnswer("-ERR unknown command\r\n");
    }
}

void ClientConnections::sendAnswer(const PendingCall &call, std::string text) {
    const auto found = connections_.find(call.client);
    if (found == connections_.end()) return;
    found->second->answerQueue.fillSlot(call.slot, std::move(text));
    unflushedConnections_.insert(call.client);
}

void ClientConnections::sendProxiedAnswer(const PendingCall &call, std::string_view value) {
    const auto found = connections_.find(call.client);
    if (found == connections_.end()) return;
    Connection &connection = *found->second;
    std::string text = encodeProxiedAnswer(value);
    answerMemory_.recordAnswerSize(text.size());
    connection.updateAnswerUsage();
    const bool isHeld = answerMemory_.mayHold(connection.countedUsage, text.size());
    ++(isHeld ? context_.metrics.callsProxied : context_.metrics.callsErrored);
    if (!isHeld) ++context_.metrics.answersNotHeld;
    sendAnswer(call, isHeld ? std::move(text) : encodeErroredAnswer());
    connection.updateAnswerUsage();
}

void ClientConnections::flush() {
    while (incompleteCommandBytes_ > context_.limits.maxIncompleteCommandBytes) endOldestIncompleteCommand();
    admitWaitingCommands();
    checkUnreadConnections(context_.clock.now());
    updateReadPauses();
    // Reading that resumes may add answers at once.
    while (!unflushedConnections_.empty()) {
        const ClientId id = unflushedConnections_.extract(unflushedConnections_.begin()).value();
        const auto found = connections_.find(id);
        if (found != connections_.end()) flushConnection(*found->second);
    }
    if (deferredClient_) accept(*deferredClient_);
}

/// Sends what can be sent to a client, and ends the connection if that was the last.
void ClientConnections::flushConnection(Connection &connection) {
    connection.sendReadyAnswers();
    connection.updateReadPause();
    const Timestamp now = context_.clock.now();
    if (connection.isEnding && !connection.isOwedAnswers()) connection.shutdownWrite(now);
    if (connection.isDraining()) continueDrain(connection, now);
}

/// Reads again from connections whose share of the memory has grown because others take up less.
void ClientConnections::updateReadPauses() {
    heldPartsLeft_ = kHeldPartsPerIteration;
    std::vector<ClientId> paused(pausedConnections_.begin(), pausedConnections_.end());
    const auto next = std::ranges::upper_bound(paused, lastResumedClient_);
    std::ranges::rotate(paused, next);
    for (const ClientId id : paused) {
        const std::size_t partsBefore = heldPartsLeft_;
        const auto found = connections_.find(id);
        if (found != connections_.end()) found->second->updateReadPause();
        if (heldPartsLeft_ < partsBefore) lastResumedClient_ = id;
    }
    heldPartsLeft_ = 0;
}

/// Whether a call with this id, which must not run twice, was sent to a worker for a client that has left
/// since.
bool ClientConnections::mayHaveRunForDepartedClient(const std::string &requestId) {
    const auto client = sentRequestIds_.clientOf(requestId, context_.clock.now());
    if (!client) return false;
    const auto found = connections_.find(*client);
    return found == connections_.end() || found->second->tcp->hasPeerLeft();
}

ClientPresence ClientConnections::checkPresence(ClientId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return ClientPresence::gone;
    const Connection &connection = *found->second;
    if (connection.tcp->hasPeerLeft()) {
        closeConnection(id);
        return ClientPresence::gone;
    }
    const bool isUnseen = connection.unreadSince != Timestamp::max() && connection.tcp->mayHideEnd() &&
                          context_.clock.now() - connection.unreadSince > kMaxUnseenTime;
    return isUnseen ? ClientPresence::unknown : ClientPresence::present;
}

/// Runs every kUnreadCheckInterval over the connections that are not read from: closes those whose clients
/// have left, which reading would show otherwise, and ends those whose clients have fetched their last
/// answer.
void ClientConnections::checkUnreadConnections(Timestamp now) {
    if (now - unreadCheckedAt_ < kUnreadCheckInterval) return;
    unreadCheckedAt_ = now;
    std::vector<ClientId> unread;
    for (const auto &[id, connection] : connections_)
        if (connection->isReadPaused || connection->isEnding || connection->isDraining())
            unread.push_back(id);
    for (const ClientId id : unread) {
        if (checkPresence(id) == ClientPresence::gone) continue;
        Connection &connection = *connections_.at(id);
        if (connection.isEnding && !connection.isOwedAnswers()) connection.shutdownWrite(now);
    }
}

/// Reads on with long commands that waited, as far as there is memory for them.
void ClientConnections::admitWaitingCommands() {
    commandReservations_.setUnreservedBytes(unreservedCommandBytes());
    for (const ClientId id : commandReservations_.admitWaiting())
        connections_.at(id)->readReservedCommand(context_.clock.now());
}

/// Bytes of incomplete commands for which no memory is reserved.
std::size_t ClientConnections::unreservedCommandBytes() const {
    std::size_t bytes = incompleteCommandBytes_;
    for (const ClientId id : commandReservations_.reserved())
        bytes -= connections_.at(id)->incompleteCommandBytes;
    return bytes;
}

/// Refuses a command that has not come whole. Its connection ends behind the answer.
void ClientConnections::refuseIncompleteCommand(Connection &connection) {
    ++context_.metrics.commandsWithoutMemory;
    connection.endWithAnswer(encodeRateLimitedAnswer(std::nullopt));
}

/// Refuses the command that has been incomplete for longest, to free memory for the others.
void ClientConnections::endOldestIncompleteCommand() {
    const auto oldest = std::ranges::min_element(connections_, {}, [](const auto &entry) {
        return std::tuple(entry.second->incompleteCommandBytes == 0,
                          entry.second->incompleteCommandBytes <= kSmallIncompleteCommandBytes,
                          entry.second->lastActiveAt);
    });
    refuseIncompleteCommand(*oldest->second);
}

/// Closes a connection and reports its pending calls as abandoned.
void ClientConnections::closeConnection(ClientId id) {
    for (const CallId call : pendingCalls_.removeAllOf(id)) {
        ++context_.metrics.callsAbandoned;
        context_.pendingEvents.emplace_back(CallAbandoned{call});
    }
    connections_.erase(id);
}

}  // namespace arrowstile
