/// \file
/// See arrowstile/planned_stop.hpp.
#include <algorithm>
#include <arrowstile/planned_stop.hpp>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

/// New connections arrive for this long, so a client whose connection is ended earlier would only come back.
constexpr Duration kDrainDelay = milliseconds(500);
/// A connection that is accepted later is used as usual for this long, so that its first call is served.
constexpr Duration kNewConnectionPeriod = milliseconds(100);
/// After kDrainDelay, the listener is closed once no client has connected for this long.
constexpr Duration kNoNewClientPeriod = milliseconds(200);
/// The listener is closed at this time even if clients still connect.
constexpr Duration kMaxAcceptPeriod = milliseconds(600);
/// For clients that wait for room then, the listener stays open until this time.
constexpr Duration kMaxWaitForRoom = milliseconds(700);

/// The process may be killed 0.7 s after the longest client timeout, which counts as 3 s at most.
constexpr Duration kMaxClientTimeout = milliseconds(3000);
/// From the longest client timeout to the answers to pending calls, and to the end of the process. A hold-up
/// of 0.15 s fits between the end and the kill.
constexpr Duration kAnswerPendingMargin = milliseconds(470);
constexpr Duration kEndMargin = milliseconds(530);
/// How long the last answers have at least, if the process was held up before it gave them.
constexpr Duration kMinFinalFetchPeriod = milliseconds(30);

/// How long commands lie unread while answers are owed. Their clients send them again only if the end of the
/// connection follows closely.
constexpr Duration kUnreadPeriod = milliseconds(50);
/// After a longer time the process was held up, and the commands that lie unread may be too old to be sent
/// again.
constexpr Duration kMaxUnreadAtEnd = milliseconds(80);
/// How long a drain reads at most before it looks for its end again, if a client sends without pause.
constexpr Duration kMaxRefusePeriod = milliseconds(50);

}  // namespace

PlannedStop::PlannedStop(Timestamp begunAt, Duration longestClientTimeout) : begunAt_(begunAt) {
    const Timestamp timeoutEnd = begunAt + std::min(longestClientTimeout, kMaxClientTimeout);
    answerPendingAt_ = timeoutEnd + kAnswerPendingMargin;
    endAt_ = timeoutEnd + kEndMargin;
}

Timestamp PlannedStop::drainStart(Timestamp acceptedAt) const {
    return std::max(begunAt_ + kDrainDelay, acceptedAt + kNewConnectionPeriod);
}

bool PlannedStop::mustCloseListener(Timestamp now, Timestamp lastAcceptedAt) const {
    const Duration stoppingFor = now - begunAt_;
    if (stoppingFor < kDrainDelay) return false;
    return stoppingFor >= kMaxAcceptPeriod || now - lastAcceptedAt >= kNoNewClientPeriod;
}

bool PlannedStop::mayLeaveClientsWaiting(Timestamp now) const { return now - begunAt_ >= kMaxWaitForRoom; }

bool PlannedStop::mustAnswerPendingCalls(Timestamp now) const { return now >= answerPendingAt_; }

bool PlannedStop::mustEnd(Timestamp now, Timestamp answeredAt) const {
    return now >= endAt_ && now - answeredAt >= kMinFinalFetchPeriod;
}

DrainStep ConnectionDrain::enter(Timestamp now, DrainStep step) {
    step_ = step;
    since_ = now;
    return step;
}

DrainStep ConnectionDrain::next(Timestamp now, Timestamp startAt, const DrainState &state) {
    const bool mayEnd = !state.isOwedAnswers && !state.isReadPaused;
    const Duration sinceEntered = now - since_;
    switch (step_) {
        case DrainStep::takeCommands:
            if (now < startAt) return step_;
            if (state.isReadPaused || !state.hasReadAllInput) return enter(now, DrainStep::refuseCommands);
            return enter(now, mayEnd ? DrainStep::end : DrainStep::leaveUnread);
        case DrainStep::leaveUnread:
            if (mayEnd && sinceEntered <= kMaxUnreadAtEnd) return enter(now, DrainStep::end);
            if (sinceEntered >= kUnreadPeriod) return enter(now, DrainStep::refuseCommands);
            return step_;
        case DrainStep::refuseCommands: {
            if (state.isAwaitingAnswers) return step_;
            const bool isEnough = state.hasReadAllInput || sinceEntered >= kMaxRefusePeriod;
            if (!isEnough) return step_;
            return enter(now, mayEnd ? DrainStep::end : DrainStep::leaveUnread);
        }
        case DrainStep::end: return step_;
    }
    return step_;
}

}  // namespace arrowstile
