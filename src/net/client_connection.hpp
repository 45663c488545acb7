/// \file
/// One connection from a client: reads its commands and sends its answers. A part of ClientConnections, used
/// by its source files only.
#pragma once

#include <arrowstile/planned_stop.hpp>

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
    Connection(ClientConnections &connections, ClientId clientId, Timestamp now, Timestamp inputSince);
    ~Connection();

    std::size_t onData(std::string_view bytes) override;
    bool mayHoldInput(std::size_t heldBytes) override;
    void onOutputSent() override { owner.unflushedConnections_.insert(id); }
    void onClosed(CloseReason reason) override;

    /// Called for each API call. Clients can't hold more connections for calls at once than a third of this
    /// gateway's sockets. Where they send one call per connection and keep the connection open, further
    /// calls would wait on their side for one to end, so the one that has been idle longest is closed before
    /// that happens.
    void recordApiCall();

    /// Whether the connection is to be closed because its client took too long to send a command or to close
    /// its side, while no answer to it is outstanding.
    bool isOverdue(Timestamp now) const;
    /// Whether a long command has waited for memory for too long.
    bool hasWaitedTooLong(Timestamp now) const;

    /// Whether the client has answers to come, or to fetch. Those that the system has taken and the client's
    /// machine has not confirmed count too: a close drops them if the client has sent more meanwhile.
    bool isOwedAnswers() const { return hasAnswersToSend() || tcp->unconfirmedBytes() > 0; }
    /// Whether the system has not taken all answers yet.
    bool hasAnswersToSend() const { return answerQueue.pendingCount() > 0 || tcp->unsentBytes() > 0; }
    /// Whether an answer to come is still missing, or was not handed over for another reason than that the
    /// client has not fetched what is before it.
    bool isAwaitingAnswer() const { return answerQueue.pendingCount() > 0 && tcp->unsentBytes() == 0; }
    bool isIdle() const { return !isOwedAnswers() && incompleteCommandBytes == 0; }

    /// For how long the system has taken nothing of the answers that are ready. Called periodically.
    Duration timeWithoutProgress(Timestamp now);

    /// Queues an answer that needs no worker, behind those to earlier commands.
    void queueAnswer(std::string text);
    /// The same for a call that a planned stop refuses.
    void queueRefusal();
    /// Sends the answers that are in order, as far as the system takes them and a little beyond.
    void sendReadyAnswers();
    /// Gives `answer` behind the answers to earlier commands, and reads no further command.
    void endWithAnswer(std::string answer);
    /// Closes the sending direction only. The client sees the end of the stream between two answers, and
    /// sends the commands that it wrote in the meantime again, on another connection.
    void shutdownWrite(Timestamp now);
    /// Takes the next step of the drain in a planned stop. `startAt` is when the drain begins.
    void continueDrain(Timestamp now, Timestamp startAt);
    /// Whether the drain has begun: no call is taken any more.
    bool isDraining() const { return drainStep != DrainStep::takeCommands; }

    /// Brings this connection's part of the memory for answers up to date.
    void updateAnswerUsage();
    /// Pauses or resumes the reading of commands, depending on what the answers to this connection take up.
    void updateReadPause();
    /// Reads on with a long command that has waited for memory.
    void readReservedCommand(Timestamp now);

    ClientConnections &owner;
    const ClientId id;
    const Timestamp acceptedAt;
    TcpConnection::Ptr tcp;
    AnswerQueue answerQueue;
    Timestamp lastActiveAt;
    /// Until all input was read once, and after a pause in reading until all of it was read again: the
    /// earliest time at which input may have arrived. Otherwise Timestamp::max().
    Timestamp unreadSince;
    TransferProgress sendProgress;  ///< of output that the system takes
    ConnectionDrain drain;
    DrainStep drainStep = DrainStep::takeCommands;  ///< that is in effect
    AnswerUsage countedUsage;  ///< as last passed to the memory that all connections share
    std::size_t incompleteCommandBytes = 0;
    std::size_t heldInputBytes = 0;  ///< read in a pause or before, for commands that are not read yet
    bool hasBeenRead = false;        ///< something has been received
    bool hasSentCommand = false;     ///< a valid one
    bool isNonCalling = true;        ///< has not sent an API call
    bool isReadPaused = false;       ///< commands are not read
    bool isEnding = false;           ///< no further command is read; closed after the last answer
    bool isWriteShutdown = false;

private:
    std::size_t readCommands(std::string_view bytes);
    void countUnconsumedInput(std::size_t restBytes);
    void waitForMemory();
    AnswerUsage answerUsage() const;
    void leaveInputUnread();
    void readCommandsToRefuse();
    bool readHeldPart();
    void setReadPaused(bool paused);

    bool isReadingPart = false;  ///< readHeldPart() is running
};

}  // namespace arrowstile
