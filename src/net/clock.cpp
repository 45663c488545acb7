#include "clock.hpp"

#include <algorithm>
#include <chrono>

namespace arrowstile {
namespace {

/// A correction is at most this fraction (1/1000) of the time since the previous correction, so that the
/// clock never runs more than 0.1 % fast or slow.
constexpr std::int64_t kMaxCorrectionDivisor = 1000;

template <class Source>
Timestamp read() {
    return std::chrono::duration_cast<Timestamp>(Source::now().time_since_epoch());
}

}  // namespace

Clock::Clock()
    : offset_(read<std::chrono::system_clock>() - read<std::chrono::steady_clock>()),
      lastCorrectedAt_(read<std::chrono::steady_clock>()) {}

Timestamp Clock::now() {
    const Timestamp steady = read<std::chrono::steady_clock>();
    if (const Duration maxCorrection = (steady - lastCorrectedAt_) / kMaxCorrectionDivisor;
        maxCorrection > Duration{}) {
        const Duration error = read<std::chrono::system_clock>() - steady - offset_;
        offset_ += std::clamp(error, -maxCorrection, maxCorrection);
        lastCorrectedAt_ = steady;
    }
    return steady + offset_;
}

TimerQueue::Key TimerQueue::schedule(Timestamp due, std::function<void()> callback) {
    const Key key{due, ++lastSequenceNumber_};
    callbacks_.emplace(key, std::move(callback));
    return key;
}

std::optional<Timestamp> TimerQueue::nextDue() const {
    return callbacks_.empty() ? std::nullopt : std::optional(callbacks_.begin()->first.first);
}

void TimerQueue::runDue(Timestamp now) {
    while (!callbacks_.empty() && callbacks_.begin()->first.first <= now) {
        const auto callback = std::move(callbacks_.begin()->second);
        callbacks_.erase(callbacks_.begin());
        callback();
    }
}

}  // namespace arrowstile
