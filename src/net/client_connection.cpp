/// \file
/// See client_connection.hpp.
#include "client_connection.hpp"

namespace arrowstile {
namespace {

/// Held input that is longer is handled in parts.
constexpr std::size_t kHeldPartBytes = 4 * 1024;

}  // namespace

ClientConnections::Connection::Connection(ClientConnections &connections, ClientId clientId, Timestamp now,
                                          Timestamp inputSince)
    : owner(connections), id(clientId), acceptedAt(now), lastActiveAt(now), unreadSince(inputSince) {
    ++owner.nonCallingCount_;
}

ClientConnections::Connection::~Connection() {
    owner.answerMemory_.update(countedUsage, {});
    owner.heldInput_.update(heldInputBytes, 0);
    owner.commandReservations_.release(id);
    owner.pausedConnections_.erase(id);
    owner.incompleteCommandBytes_ -= incompleteCommandBytes;
    owner.nonCallingCount_ -= isNonCalling;
}

std::size_t ClientConnections::Connection::onData(std::string_view bytes) {
    hasBeenRead = true;
    std::size_t consumedBytes = readCommands(bytes);
    if (isReadingPart) return consumedBytes;
    if (!isReadPaused && tcp->hasReadAllInput()) unreadSince = Timestamp::max();
    if (isEnding) {
        tcp->setInputMode(InputMode::discard);
        consumedBytes = bytes.size();
    }
    countUnconsumedInput(bytes.size() - consumedBytes);
    return consumedBytes;
}

/// Handles the whole commands at the front of the input. Returns how many bytes they take up.
std::size_t ClientConnections::Connection::readCommands(std::string_view bytes) {
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
        owner.commandReservations_.release(id);
        owner.handleCommand(*this, command);
        updateReadPause();
    }
    return consumedBytes;
}

/// Counts the input that was not consumed: in a pause as held, otherwise as a part of a command.
void ClientConnections::Connection::countUnconsumedInput(std::size_t restBytes) {
    const std::size_t heldBytes = isReadPaused ? restBytes : 0;
    owner.heldInput_.update(std::exchange(heldInputBytes, heldBytes), heldBytes);
    const std::size_t commandBytes = restBytes - heldBytes;
    if (incompleteCommandBytes == 0 && commandBytes > 0) lastActiveAt = owner.context_.clock.now();
    owner.incompleteCommandBytes_ += commandBytes - incompleteCommandBytes;
    incompleteCommandBytes = commandBytes;
    if (commandBytes > kShortCommandBytes && !owner.commandReservations_.reserve(id)) waitForMemory();
}

/// Leaves the rest of a long command in the system until there is memory for it.
void ClientConnections::Connection::waitForMemory() {
    ++owner.context_.metrics.commandWaits;
    unreadSince = std::min(unreadSince, owner.context_.lastReadAt);
    tcp->setInputMode(InputMode::wait);
}

void ClientConnections::Connection::readReservedCommand(Timestamp now) {
    lastActiveAt = now;
    const bool isReading = !isReadPaused && !isEnding && drainStep != DrainStep::leaveUnread;
    if (isReading) tcp->setInputMode(InputMode::deliver);
}

bool ClientConnections::Connection::mayHoldInput(std::size_t heldBytes) {
    if (!isReadPaused) return false;
    owner.heldInput_.update(std::exchange(heldInputBytes, heldBytes), heldBytes);
    return owner.heldInput_.mayReadMore(heldBytes);
}

void ClientConnections::Connection::onClosed(CloseReason) { owner.closeConnection(id); }

void ClientConnections::Connection::recordApiCall() {
    hasSentCommand = true;
    if (!std::exchange(isNonCalling, false)) return;
    --owner.nonCallingCount_;
    if (owner.connections_.size() - owner.nonCallingCount_ > owner.context_.limits.maxCallingClients)
        owner.evictLongestIdle(EvictionScope::calling);
}

bool ClientConnections::Connection::isOverdue(Timestamp now) const {
    if (isWriteShutdown) return now - lastActiveAt > kCloseGracePeriod;
    return (!hasSentCommand || incompleteCommandBytes > 0) && !isOwedAnswers() &&
           now - lastActiveAt > kCommandTimeout;
}

bool ClientConnections::Connection::hasWaitedTooLong(Timestamp now) const {
    return !isEnding && owner.commandReservations_.isWaiting(id) && now - lastActiveAt > kMaxReservationWait;
}

Duration ClientConnections::Connection::timeWithoutProgress(Timestamp now) {
    return sendProgress.timeWithoutProgress(now, tcp->unsentBytes(), tcp->sentBytes());
}

void ClientConnections::Connection::queueAnswer(std::string text) {
    answerQueue.fillSlot(answerQueue.reserveSlot(), std::move(text));
    owner.unflushedConnections_.insert(id);
}

void ClientConnections::Connection::queueRefusal() {
    answerQueue.appendReady(encodeRateLimitedAnswer(std::nullopt));
    owner.unflushedConnections_.insert(id);
}

void ClientConnections::Connection::sendReadyAnswers() {
    while (answerQueue.hasReady() && tcp->unsentBytes() < kMaxUnsentBytes) {
        std::string text;
        answerQueue.popReady(text, kMaxUnsentBytes - tcp->unsentBytes());
        tcp->write(text);
        tcp->flush();
    }
}

void ClientConnections::Connection::endWithAnswer(std::string answer) {
    queueAnswer(std::move(answer));
    isEnding = true;
    tcp->setInputMode(InputMode::discard);
    tcp->discardInput();
    owner.commandReservations_.release(id);
    countUnconsumedInput(0);
}

void ClientConnections::Connection::shutdownWrite(Timestamp now) {
    if (std::exchange(isWriteShutdown, true)) return;
    isEnding = true;
    lastActiveAt = now;
    tcp->shutdownWrite();
    tcp->setInputMode(InputMode::discard);
}

void ClientConnections::Connection::continueDrain(Timestamp now, Timestamp startAt) {
    if (isEnding) return;
    const DrainState state{answerQueue.unansweredCount() > 0, isOwedAnswers(), isReadPaused,
                           tcp->hasReadAllInput()};
    const DrainStep step = drain.next(now, startAt, state);
    if (std::exchange(drainStep, step) == step) return;
    switch (step) {
        case DrainStep::takeCommands: break;
        case DrainStep::leaveUnread: return leaveInputUnread();
        case DrainStep::refuseCommands: return readCommandsToRefuse();
        case DrainStep::end: ++owner.context_.metrics.stopConnectionsEnded; return shutdownWrite(now);
    }
}

void ClientConnections::Connection::leaveInputUnread() {
    if (owner.commandReservations_.isWaiting(id)) return owner.refuseIncompleteCommand(*this);
    unreadSince = std::min(unreadSince, owner.context_.lastReadAt);
    tcp->setInputMode(InputMode::wait);
}

void ClientConnections::Connection::readCommandsToRefuse() {
    if (owner.commandReservations_.isWaiting(id)) return owner.refuseIncompleteCommand(*this);
    updateReadPause();
    if (!isReadPaused && !isEnding) tcp->setInputMode(InputMode::deliver);
}

AnswerUsage ClientConnections::Connection::answerUsage() const {
    return {answerQueue.pendingCount(), answerQueue.unansweredCount(), answerQueue.answerBytes(),
            tcp->unsentBytes(), isDraining()};
}

void ClientConnections::Connection::updateAnswerUsage() {
    const AnswerUsage usage = answerUsage();
    owner.answerMemory_.update(countedUsage, usage);
    countedUsage = usage;
    std::uint64_t &peakBytes = owner.context_.metrics.peakAnswerBytes;
    peakBytes = std::max<std::uint64_t>(peakBytes, owner.answerMemory_.heldBytes());
}

void ClientConnections::Connection::updateReadPause() {
    updateAnswerUsage();
    if (isEnding || drainStep == DrainStep::leaveUnread) return;
    const AnswerMemory &memory = owner.answerMemory_;
    if (isReadPaused ? memory.mayResumeReading(countedUsage) : memory.mustPauseReading(countedUsage)) {
        setReadPaused(!isReadPaused);
    } else if (isReadPaused) {
        tcp->setInputMode(InputMode::hold);
    }
}

/// Handles some of the held commands. Returns false if there was no whole one.
bool ClientConnections::Connection::readHeldPart() {
    isReadingPart = true;
    const bool hasConsumed = tcp->deliverHeldPart();
    isReadingPart = false;
    if (isEnding) {
        tcp->setInputMode(InputMode::discard);
        tcp->discardInput();
        countUnconsumedInput(0);
        return true;
    }
    if (!hasConsumed) return false;
    isReadPaused = true;
    tcp->setInputMode(InputMode::hold);
    return true;
}

/// Commands that come during a pause may have waited since it began.
void ClientConnections::Connection::setReadPaused(bool paused) {
    isReadPaused = paused;
    if (paused) {
        ++owner.context_.metrics.readPauses;
        owner.pausedConnections_.insert(id);
        unreadSince = std::min(unreadSince, owner.context_.lastReadAt);
        owner.incompleteCommandBytes_ -= std::exchange(incompleteCommandBytes, 0);  // held from now on
        tcp->setInputMode(InputMode::hold);
        return;
    }
    // Long held input is handled in parts, so that it does not hold up the other clients. Refusing it is
    // quick.
    if (tcp->unconsumedBytes() > kHeldPartBytes && !isDraining()) {
        if (owner.heldPartsLeft_ == 0) {
            isReadPaused = true;
            return;
        }
        --owner.heldPartsLeft_;
        if (readHeldPart()) return;
    }
    owner.pausedConnections_.erase(id);
    tcp->setInputMode(InputMode::deliver);
    if (!isReadPaused && tcp->hasReadAllInput()) unreadSince = Timestamp::max();
}

}  // namespace arrowstile
