/// \file
/// One connection from a client: reads its commands and sends its answers. A part of ClientConnections, used
/// by its source files only.
#pragma once

#include "client_connections.hpp"
#include "core/transfer_progress.hpp"

namespace arrowstile {

/// A connection with a longer incomplete command is closed: the command would never end.
inline constexpr std::size_t kMaxCommandBytes = resp::kMaxCommandValueBytes + 8 * 1024;
/// How long a connection may go without a first valid command, and how long a command may stay incomplete.
inline constexpr Duration kCommandTimeout = std::chrono::milliseconds(2000);
/// How long a client has to fetch a protocol error, or to close its side in a planned stop, before the
/// connection is closed and whatever the client still sends is lost.
inline constexpr Duration kCloseGracePeriod = std::chrono::milliseconds(300);

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

}  // namespace arrowstile
