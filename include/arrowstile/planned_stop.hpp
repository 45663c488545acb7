/// \file
/// Decides how a planned stop goes on: when the listener closes, which commands are still taken, when each
/// client connection ends and when the process does. Without I/O.
#pragma once

#include <arrowstile/ids.hpp>
#include <cstdint>

namespace arrowstile {

/// The times of a planned stop. All of them follow from its begin and the longest client timeout alone, so
/// that no client can prolong it.
class PlannedStop {
public:
    /// `longestClientTimeout` is the longest time for which a route's clients wait for an answer.
    PlannedStop(Timestamp begunAt, Duration longestClientTimeout);

    Timestamp begunAt() const { return begunAt_; }
    /// When a connection that was accepted at `acceptedAt` begins to be drained. Before that it is used as
    /// usual.
    Timestamp drainStart(Timestamp acceptedAt) const;
    /// Whether no new connection is accepted any more, if the last one came at `lastAcceptedAt`.
    bool mustCloseListener(Timestamp now, Timestamp lastAcceptedAt) const;
    /// Whether that is so even if clients wait for which there is no room yet.
    bool mayLeaveClientsWaiting(Timestamp now) const;
    /// Whether the calls that are still pending have to be answered now, because the process ends before
    /// their clients stop waiting.
    bool mustAnswerPendingCalls(Timestamp now) const;
    /// Whether the process has to end, if the pending calls were answered at `answeredAt`, though clients may
    /// not have fetched all of their answers.
    bool mustEnd(Timestamp now, Timestamp answeredAt) const;

private:
    Timestamp begunAt_;
    Timestamp answerPendingAt_;
    Timestamp endAt_;
};

/// What is done with the input of a client connection in a planned stop.
enum class DrainStep : std::uint8_t {
    takeCommands,    ///< as usual: the drain has not begun
    leaveUnread,     ///< nothing is read
    refuseCommands,  ///< commands are read, and API calls are refused at once
    end              ///< the sending direction is closed, and what still comes is dropped
};

/// What the next step of a drain depends on.
struct DrainState {
    bool isAwaitingAnswers = false;  ///< a command that was read has no answer yet
    /// An answer is still to come, or was not confirmed by the client's machine.
    bool isOwedAnswers = false;
    /// Commands wait for memory before they can be handled, read or unread, maybe for long.
    bool isReadPaused = false;
    bool hasReadAllInput = false;  ///< everything that had arrived was read when the sockets were read last
};

/// The drain of one client connection.
///
/// Its end needs a moment in which every command that was read has its answer. A busy client never leaves
/// such a moment by itself, so no call is taken from the drain's start on. Commands that come while answers
/// are still owed lie unread for a short time: if the connection ends within it, their client sends them
/// again elsewhere. If it does not, they are read and refused until no call is pending. The calls are bounded
/// in time, and so is the drain.
class ConnectionDrain {
public:
    /// The step at `now`, to be asked periodically and when the last answer was sent. `startAt` is
    /// PlannedStop::drainStart() of the connection.
    DrainStep next(Timestamp now, Timestamp startAt, const DrainState &state);

private:
    DrainStep enter(Timestamp now, DrainStep step);

    DrainStep step_ = DrainStep::takeCommands;
    Timestamp since_{};  ///< when step_ began
};

}  // namespace arrowstile
