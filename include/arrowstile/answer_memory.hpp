/// \file
/// Decides how much of a gateway's memory the answers to each client connection may take up. Without I/O.
#pragma once

#include <arrowstile/ids.hpp>
#include <cstddef>

namespace arrowstile {

/// What one client connection takes up of the memory for answers.
struct AnswerUsage {
    std::size_t pendingCommands = 0;     ///< commands that were read and whose answers are not on their way
    std::size_t unansweredCommands = 0;  ///< those of them that have no answer yet
    /// Encoded answers that wait for an earlier answer, or for the client to fetch what is before them.
    std::size_t waitingBytes = 0;
    std::size_t unsentBytes = 0;  ///< handed to the connection, but not taken by the system yet
    bool isRefusing = false;      ///< further calls are refused at once, so their number is not limited

    bool operator==(const AnswerUsage &) const = default;
};

/// Shares the memory for answers among all client connections.
///
/// A connection may use as much as is free ("dynamic threshold", Choudhury and Hahne 1998): one alone gets
/// half of the memory, and of k that want more than they can get each has one (k + 1)th, so the rest can
/// always hold something. Commands without an answer count with a fixed overhead and with the mean size of
/// recent answers. A connection over its share is not read from. Answers that are larger than expected are
/// held up to twice of what is free; a call whose answer does not fit even so has to be answered as errored.
class AnswerMemory {
public:
    /// `capacityBytes` is the memory for the answers to all clients together.
    explicit AnswerMemory(std::size_t capacityBytes) : capacityBytes_(capacityBytes) {}

    /// A connection's usage has changed. A new connection starts from, and a closed one returns to, an
    /// AnswerUsage{}.
    void update(const AnswerUsage &before, const AnswerUsage &after);
    /// An answer of a worker with this many bytes was received. The mean follows the last few dozens.
    void recordAnswerSize(std::size_t bytes);

    /// Whether an answer of this many bytes may be held for a connection.
    bool mayHold(const AnswerUsage &usage, std::size_t answerBytes) const;
    /// Whether no further command may be read from a connection.
    bool mustPauseReading(const AnswerUsage &usage) const;
    /// Whether reading from a connection may go on after a pause.
    bool mayResumeReading(const AnswerUsage &usage) const;

    /// Bytes that the answers to all clients take up now.
    std::size_t heldBytes() const { return heldBytes_; }

private:
    std::size_t freeBytes() const;
    std::size_t claimedBytes(const AnswerUsage &usage) const;

    std::size_t capacityBytes_;
    std::size_t heldBytes_ = 0;
    std::size_t unansweredCommands_ = 0;
    double meanAnswerBytes_ = 0;
};

/// The bytes of encoded answers that may be handed to a connection ahead of what the system takes.
inline constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

/// Whether a client that has taken nothing of its answers for `noProgress`, though some were ready for it,
/// may have its connection closed.
bool isFetchTimedOut(Duration noProgress);

}  // namespace arrowstile
