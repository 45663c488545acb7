#include "client_connections.hpp"

#include <unistd.h>

#include <algorithm>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

/// A connection with a longer incomplete command is closed: the command would never end.
constexpr std::size_t kMaxCommandBytes = resp::kMaxCommandValueBytes + 8 * 1024;
/// When memory is short, connections with no more of an incomplete command than this are closed last.
constexpr std::size_t kSmallIncompleteCommandBytes = 1024;

constexpr Duration kCleanupInterval = milliseconds(250);
/// Connections that are not read from are checked this often for clients that have left. Nothing may be sent
/// for a client from 100 ms after it has closed its connection on.
constexpr Duration kUnreadCheckInterval = milliseconds(20);
/// How long a connection may go without a first valid command, and how long a command may stay incomplete.
constexpr Duration kCommandTimeout = milliseconds(2000);
/// How long a client has to fetch a protocol error, or to close its side in a planned stop, before the
/// connection is closed and whatever the client still sends is lost.
constexpr Duration kCloseGracePeriod = milliseconds(300);

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

/// Tells for how long a transfer has made no progress.
class TransferProgress {
public:
    /// To be called periodically, with the bytes that are left now and those that are done in all.
    Duration timeWithoutProgress(Timestamp now, std::uint64_t leftBytes, std::uint64_t doneBytes) {
        if (leftBytes == 0 || std::exchange(lastDoneBytes_, doneBytes) != doneBytes) lastProgressAt_ = now;
        return now - lastProgressAt_;
    }

private:
    Timestamp lastProgressAt_{};  ///< when something was last done, or nothing was left
    std::uint64_t lastDoneBytes_ = 0;
};

}  // namespace

/// A client's connection, with the order of its answers and the limits on its input and output.
struct ClientConnections::Connection final : TcpConnection::Handler {
    Connection(ClientConnections &connections, ClientId clientId, Timestamp now, Timestamp inputSince)
        : owner(connections), id(clientId), lastActiveAt(now), unreadSince(inputSince) {
        ++owner.nonCallingCount_;
    }

    ~Connection() {
        owner.answerMemory_.update(countedUsage, {});
        owner.pausedConnections_.erase(id);
        owner.incompleteCommandBytes_ -= incompleteCommandBytes;
        owner.nonCallingCount_ -= isNonCalling;
    }

    std::size_t onData(std::string_view bytes) override {
        hasBeenRead = true;
        std::size_t consumedBytes = 0;
        resp::Command command;
        while (consumedBytes < bytes.size() && !isReadPaused && !isEnding) {
            const auto parsed = resp::parseCommand(bytes.substr(consumedBytes), command);
            const bool isTooLong =
                parsed == resp::ParseResult::incomplete && bytes.size() - consumedBytes > kMaxCommandBytes;
            if (parsed == resp::ParseResult::incomplete && !isTooLong) break;
            if (parsed == resp::ParseResult::malformed || isTooLong) {
                ++owner.context_.metrics.badCommands;
                queueAnswer("-ERR Protocol error\r\n");
                isEnding = true;
                break;
            }
            consumedBytes += command.consumedBytes;
            lastActiveAt = owner.context_.clock.now();
            owner.handleCommand(*this, command);
            updateReadPause();
        }
        if (!isReadPaused && tcp->hasReadAllInput()) unreadSince = Timestamp::max();
        if (isEnding) {
            tcp->setReadPaused(true);  // Further input is of no use after a protocol error.
            consumedBytes = bytes.size();
        }
        const std::size_t restBytes = isReadPaused ? 0 : bytes.size() - consumedBytes;
        if (incompleteCommandBytes == 0 && restBytes > 0) lastActiveAt = owner.context_.clock.now();
        owner.incompleteCommandBytes_ += restBytes - incompleteCommandBytes;
        incompleteCommandBytes = restBytes;
        return consumedBytes;
    }

    /// Called for each API call. Clients can't hold more connections for calls at once than a third of this
    /// gateway's sockets. Where they send one call per connection and keep the connection open, further
    /// calls would wait on their side for one to end, so the one that has been idle longest is closed before
    /// that happens.
    void recordApiCall() {
        hasSentCommand = true;
        if (!std::exchange(isNonCalling, false)) return;
        --owner.nonCallingCount_;
        if (owner.connections_.size() - owner.nonCallingCount_ > owner.context_.limits.maxCallingClients)
            owner.evictLongestIdle(EvictionScope::calling);
    }

    /// Whether the connection is to be closed because its client took too long to send a command or to close
    /// its side, while no answer to it is outstanding.
    bool isOverdue(Timestamp now) const {
        if (isWriteShutdown) return now - lastActiveAt > kCloseGracePeriod;
        return (!hasSentCommand || incompleteCommandBytes > 0) && !isOwedAnswers() &&
               now - lastActiveAt > kCommandTimeout;
    }

    /// Whether the client has answers to come, or to fetch. Those that the system has taken and the client's
    /// machine has not confirmed count too: a close drops them if the client has sent more meanwhile.
    bool isOwedAnswers() const { return hasAnswersToSend() || tcp->unconfirmedBytes() > 0; }

    /// Whether the system has not taken all answers yet.
    bool hasAnswersToSend() const { return answerQueue.pendingCount() > 0 || tcp->unsentBytes() > 0; }

    /// Whether an answer to come is still missing, or was not handed over for another reason than that the
    /// client has not fetched what is before it.
    bool isAwaitingAnswer() const { return answerQueue.pendingCount() > 0 && tcp->unsentBytes() == 0; }

    /// For how long the system has taken nothing of the answers that are ready. Called periodically.
    Duration timeWithoutProgress(Timestamp now) {
        return sendProgress.timeWithoutProgress(now, tcp->unsentBytes(), tcp->sentBytes());
    }

    /// For how long the client's machine has confirmed nothing of the answers that are ready. Called
    /// periodically.
    Duration timeWithoutFetching(Timestamp now) {
        const std::uint64_t unconfirmedBytes = tcp->unconfirmedBytes();
        return fetchProgress.timeWithoutProgress(now, tcp->unsentBytes() + unconfirmedBytes,
                                                 tcp->sentBytes() - unconfirmedBytes);
    }

    void onOutputSent() override { owner.unflushedConnections_.insert(id); }

    /// Sends the answers that are in order, as far as the system takes them and a little beyond.
    void sendReadyAnswers() {
        while (answerQueue.hasReady() && tcp->unsentBytes() < kMaxUnsentBytes) {
            std::string text;
            answerQueue.popReady(text, kMaxUnsentBytes - tcp->unsentBytes());
            tcp->write(text);
            tcp->flush();
        }
    }

    AnswerUsage answerUsage() const {
        return {answerQueue.pendingCount(), answerQueue.unansweredCount(), answerQueue.answerBytes(),
                tcp->unsentBytes()};
    }

    /// Brings this connection's part of the memory for answers up to date.
    void updateAnswerUsage() {
        const AnswerUsage usage = answerUsage();
        owner.answerMemory_.update(countedUsage, usage);
        countedUsage = usage;
        std::uint64_t &peakBytes = owner.context_.metrics.peakAnswerBytes;
        peakBytes = std::max<std::uint64_t>(peakBytes, owner.answerMemory_.heldBytes());
    }

    void onClosed(CloseReason) override { owner.closeConnection(id); }

    /// Queues an answer that needs no worker, behind those to earlier commands.
    void queueAnswer(std::string text) {
        answerQueue.fillSlot(answerQueue.reserveSlot(), std::move(text));
        owner.unflushedConnections_.insert(id);
    }

    /// Answers with an error behind the answers to earlier commands, and reads no further command.
    void endWithError(std::string_view message) {
        std::string text;
        resp::appendError(text, message);
        queueAnswer(std::move(text));
        isEnding = true;
        tcp->setReadPaused(true);
        tcp->discardInput();
        owner.incompleteCommandBytes_ -= std::exchange(incompleteCommandBytes, 0);
    }

    /// Closes the sending direction only. The client sees the end of the stream between two answers, and
    /// sends the commands that it wrote in the meantime again, on another connection.
    void shutdownWrite(Timestamp now) {
        if (std::exchange(isWriteShutdown, true)) return;
        isEnding = true;
        lastActiveAt = now;
        tcp->shutdownWrite();
    }

    bool isIdle() const { return !isOwedAnswers() && incompleteCommandBytes == 0; }

    /// Pauses or resumes reading, depending on what the answers to this connection take up.
    void updateReadPause() {
        updateAnswerUsage();
        if (isEnding) return;
        const AnswerMemory &memory = owner.answerMemory_;
        if (isReadPaused ? memory.mayResumeReading(countedUsage) : memory.mustPauseReading(countedUsage))
            setReadPaused(!isReadPaused);
    }

    /// Commands that come during a pause may have waited since it began.
    void setReadPaused(bool paused) {
        isReadPaused = paused;
        if (paused) {
            ++owner.context_.metrics.readPauses;
            owner.pausedConnections_.insert(id);
            unreadSince = std::min(unreadSince, owner.context_.lastReadAt);
            tcp->setReadPaused(true);
            return;
        }
        owner.pausedConnections_.erase(id);
        tcp->setReadPaused(false);
        if (!isReadPaused && tcp->hasReadAllInput()) unreadSince = Timestamp::max();
    }

    ClientConnections &owner;
    const ClientId id;
    TcpConnection::Ptr tcp;
    AnswerQueue answerQueue;
    Timestamp lastActiveAt;
    /// Until all input was read once, and after a pause in reading until all of it was read again: the
    /// earliest time at which input may have arrived. Otherwise Timestamp::max().
    Timestamp unreadSince;
    TransferProgress sendProgress;   ///< of output that the system takes
    TransferProgress fetchProgress;  ///< of output that the client's machine confirms
    AnswerUsage countedUsage;        ///< as last passed to the memory that all connections share
    std::size_t incompleteCommandBytes = 0;
    bool hasBeenRead = false;     ///< something has been received
    bool hasSentCommand = false;  ///< a valid one
    bool isNonCalling = true;     ///< has not sent an API call
    bool isReadPaused = false;
    bool isEnding = false;  ///< no further command is read; closed after the last answer
    bool isWriteShutdown = false;
};

ClientConnections::ClientConnections(ServerContext &context, PendingCallTable &pendingCalls,
                                     SentRequestIds &sentRequestIds)
    : context_(context),
      pendingCalls_(pendingCalls),
      sentRequestIds_(sentRequestIds),
      answerMemory_(context.limits.maxAnswerBytes) {
    context_.timers.schedule(context_.clock.now() + kCleanupInterval, [this] { closeOverdueConnections(); });
}

ClientConnections::~ClientConnections() { closeListener(); }

void ClientConnections::listen(const Address &address) {
    listener_ = std::make_unique<TcpListener>(context_.loop, address, context_.clock, context_.timers,
                                              [this](int descriptor) {
                                                  accept({descriptor, context_.lastReadAt});
                                              });
}

/// Stops to listen. Clients that the system has accepted by now may have sent calls, so they are taken in.
void ClientConnections::closeListener() {
    if (!listener_) return;
    listener_->acceptWaiting();
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
        if (error.empty() && sentRequestIds_.contains(call.requestId, context_.clock.now()))
            error = "a call with this id may have run";
        if (error.empty() &&
            pendingCalls_.textBytes() + call.textBytes() > context_.limits.maxBufferedBytesPerKind) {
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
    while (incompleteCommandBytes_ > context_.limits.maxBufferedBytesPerKind) endOldestIncompleteCommand();
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
    const bool mayEnd = connection.isEnding || (isClosingIdle_ && connection.isIdle());
    if (mayEnd && !connection.isOwedAnswers()) connection.shutdownWrite(context_.clock.now());
}

/// Reads again from connections whose share of the memory has grown because others take up less.
void ClientConnections::updateReadPauses() {
    for (const ClientId id : std::set(pausedConnections_)) {
        const auto found = connections_.find(id);
        if (found != connections_.end()) found->second->updateReadPause();
    }
}

bool ClientConnections::isClientPresent(ClientId id) {
    const auto found = connections_.find(id);
    if (found == connections_.end()) return false;
    if (!found->second->tcp->hasPeerLeft()) return true;
    closeConnection(id);
    return false;
}

/// Runs every kUnreadCheckInterval over the connections that are not read from: closes those whose clients
/// have left, which reading would show otherwise, and ends those whose clients have fetched their last
/// answer.
void ClientConnections::checkUnreadConnections(Timestamp now) {
    if (now - unreadCheckedAt_ < kUnreadCheckInterval) return;
    unreadCheckedAt_ = now;
    std::vector<ClientId> unread;
    for (const auto &[id, connection] : connections_)
        if (connection->isReadPaused || connection->isEnding) unread.push_back(id);
    for (const ClientId id : unread) {
        if (!isClientPresent(id)) continue;
        Connection &connection = *connections_.at(id);
        if (connection.isEnding && !connection.isOwedAnswers()) connection.shutdownWrite(now);
    }
}

/// Gives up the command that has been incomplete for longest, to free memory for the others. Its connection
/// is closed, but not before the client has the answers to its earlier commands.
void ClientConnections::endOldestIncompleteCommand() {
    const auto oldest = std::ranges::min_element(connections_, {}, [](const auto &entry) {
        return std::tuple(entry.second->incompleteCommandBytes == 0,
                          entry.second->incompleteCommandBytes <= kSmallIncompleteCommandBytes,
                          entry.second->lastActiveAt);
    });
    ++context_.metrics.clientsEvicted;
    if (!oldest->second->isOwedAnswers()) return closeConnection(oldest->first);
    oldest->second->endWithError("ERR no memory for this command");
}

/// Closes a connection and reports its pending calls as abandoned.
void ClientConnections::closeConnection(ClientId id) {
    for (const CallId call : pendingCalls_.removeAllOf(id)) {
        ++context_.metrics.callsAbandoned;
        context_.pendingEvents.emplace_back(CallAbandoned{call});
    }
    connections_.erase(id);
}

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
