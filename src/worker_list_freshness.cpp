/// \file
/// See arrowstile/worker_list_freshness.hpp.
#include <algorithm>
#include <arrowstile/worker_list_freshness.hpp>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

/// Discovery counts as silent when nothing of its answer has arrived for this long.
constexpr Duration kSilenceTimeout = milliseconds(4000);
/// The same after a watch response that is overdue, since discovery has been silent for a while by then.
constexpr Duration kSilenceTimeoutAfterWatch = milliseconds(1000);
/// The same after the start where discovery is only asked for lists: it owes no answer at once.
constexpr Duration kSilenceTimeoutOnRequest = milliseconds(1000);
/// The same if nothing listens at discovery's address. It may be starting.
constexpr Duration kSilenceTimeoutIfRefused = milliseconds(1000);
/// How long calls wait at most for an answer that arrives piece by piece, or that can't be asked for.
constexpr Duration kMaxWait = milliseconds(10000);

/// How long a list may be used after contact to discovery was lost. Shorter than the grace in which workers
/// that begin to drain still take calls.
constexpr Duration kMaxUnconfirmedUse = milliseconds(100);
/// The same after an overdue watch response: changes that it missed count as announced 0.5 s later.
constexpr Duration kMaxUseAfterWatch = milliseconds(300);
/// The same after discovery has moved. What it knows at the new address counts as announced 4 s later.
constexpr Duration kMaxUseAfterMove = milliseconds(4000);

/// How long a list that was confirmed may be used once it is in doubt.
Duration maxUse(ListDoubt cause) {
    switch (cause) {
        case ListDoubt::processStarted:
        case ListDoubt::answerIncomplete: return Duration{};
        case ListDoubt::watchSilent: return kMaxUseAfterWatch;
        case ListDoubt::addressChanged: return kMaxUseAfterMove;
        default: return kMaxUnconfirmedUse;
    }
}

/// After which time without any part of an answer discovery counts as silent.
Duration silenceTimeout(ListDoubt cause) {
    switch (cause) {
        case ListDoubt::watchSilent: return kSilenceTimeoutAfterWatch;
        case ListDoubt::connectionRefused: return kSilenceTimeoutIfRefused;
        default: return kSilenceTimeout;
    }
}

}  // namespace

WorkerListFreshness::WorkerListFreshness(DiscoveryMode mode, Timestamp startedAt) : mode_(mode) {
    const bool isPushed = mode == DiscoveryMode::pushed;
    doubt_ = Doubt{startedAt, startedAt + (isPushed ? kSilenceTimeout : kSilenceTimeoutOnRequest),
                   startedAt + kMaxWait};
}

void WorkerListFreshness::confirm() { doubt_.reset(); }

void WorkerListFreshness::addDoubt(ListDoubt cause, Timestamp now) {
    // Without an agent that is told of changes, only what discovery has begun to write counts as announced.
    const bool isAnnounced = mode_ == DiscoveryMode::pushed || cause == ListDoubt::answerIncomplete;
    if (!isAnnounced) return;
    const Timestamp silentAt = now + silenceTimeout(cause);
    if (!doubt_) {
        doubt_ = Doubt{now + maxUse(cause), silentAt, now + kMaxWait};
        return;
    }
    const bool isSilent = now >= doubt_->silentAt;
    const bool isExhausted = now >= doubt_->exhaustedAt && doubt_->exhaustedAt < doubt_->silentAt;
    if (isExhausted) return;
    if (cause == ListDoubt::answerIncomplete) {
        // A part of an answer after a silence shows that discovery is back, so calls wait again.
        if (isSilent) doubt_->exhaustedAt = now + kMaxWait;
        doubt_->silentAt = silentAt;
    } else if (cause == ListDoubt::localFailure && !isSilent) {
        // Discovery could not be asked, so it can't count as silent yet.
        doubt_->silentAt = std::max(doubt_->silentAt, silentAt);
    } else if (cause == ListDoubt::connectionRefused && !isSilent) {
        doubt_->silentAt = std::min(doubt_->silentAt, silentAt);
    }
}

bool WorkerListFreshness::mayUseList(Timestamp now) const {
    if (!doubt_ || now < doubt_->usableUntil) return true;
    return now >= std::min(doubt_->silentAt, doubt_->exhaustedAt);
}

const char *toString(ListDoubt cause) {
    switch (cause) {
        case ListDoubt::processStarted: return "process started";
        case ListDoubt::answerIncomplete: return "answer incomplete";
        case ListDoubt::connectionLost: return "connection lost";
        case ListDoubt::connectionRefused: return "connection refused";
        case ListDoubt::localFailure: return "local failure";
        case ListDoubt::watchSilent: return "watch silent";
        case ListDoubt::addressChanged: return "address changed";
    }
    return "";
}

}  // namespace arrowstile
