/// \file
/// The gateway's clock and its timers.
#pragma once

#include <arrowstile/ids.hpp>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace arrowstile {

/// Time since the Unix epoch, so that all gateways compute the same quota windows. It advances with the
/// steady clock and is corrected towards the system clock gradually: a step of the system clock must not end
/// API calls early.
class Clock {
public:
    Clock();
    /// Returns the current time. Never goes backwards.
    Timestamp now();

private:
    Duration offset_;            ///< of this clock from the steady clock
    Timestamp lastCorrectedAt_;  ///< on the steady clock
};

/// Callbacks to run at given times, in order of time; those of the same time run in the order in which they
/// were scheduled.
class TimerQueue {
public:
    /// Identifies a scheduled callback: its time and a sequence number.
    using Key = std::pair<Timestamp, std::uint64_t>;

    /// Schedules a callback. The key returned can be used to cancel it.
    Key schedule(Timestamp due, std::function<void()> callback);
    /// Removes a callback. Has no effect if it has run already, or on a default-constructed key.
    void cancel(Key key) { callbacks_.erase(key); }
    /// Time of the next callback; nullopt if none is scheduled.
    std::optional<Timestamp> nextDue() const;
    /// Runs all callbacks that are due at `now`, including those that they schedule for a time up to `now`.
    void runDue(Timestamp now);

private:
    std::map<Key, std::function<void()>> callbacks_;
    std::uint64_t lastSequenceNumber_ = 0;
};

}  // namespace arrowstile
