/// \file
/// Basics of the discrete-event simulation: the event queue with its virtual clock, seeded random numbers,
/// and conversion between Duration and milliseconds.
#pragma once

#include <arrowstile/ids.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace arrowstile::lab {

/// Runs actions in the order of their virtual time. Actions due at the same time run in the order in which
/// they were scheduled, so that a run is deterministic.
class EventQueue {
public:
    /// Schedules an action. `due` must not lie before now(), else the virtual clock would go back.
    void schedule(Timestamp due, std::function<void()> action) {
        pending_.push({due, ++lastSequence_, std::move(action)});
    }
    /// Current virtual time: that of the action that runs, or of the end of the last runUntil().
    Timestamp now() const { return now_; }
    /// Number of actions run so far.
    std::uint64_t processedCount() const { return processedCount_; }

    /// Runs all actions due up to and including `end`, also those that are scheduled meanwhile, and sets the
    /// virtual clock to `end`.
    void runUntil(Timestamp end) {
        while (!pending_.empty() && pending_.top().due <= end) {
            // top() is const. Moving the action out is safe, since it doesn't change `due` and `sequence`,
            // by which pop() compares.
            const ScheduledAction next = std::move(const_cast<ScheduledAction &>(pending_.top()));
            pending_.pop();
            now_ = next.due;
            ++processedCount_;
            next.action();
        }
        now_ = end;
    }

private:
    struct ScheduledAction {
        Timestamp due;
        std::uint64_t sequence;
        std::function<void()> action;
        /// Inverted, because std::priority_queue puts the largest element on top.
        bool operator<(const ScheduledAction &other) const {
            return std::pair(due, sequence) > std::pair(other.due, other.sequence);
        }
    };
    std::priority_queue<ScheduledAction> pending_;
    Timestamp now_{};
    std::uint64_t lastSequence_ = 0;
    std::uint64_t processedCount_ = 0;
};

/// Seeded random numbers. The generator is the standard library's. The distributions are computed here,
/// because the standard doesn't define the sequence that its distributions produce, and a seed has to give
/// the same report with every standard library. drawExponential and drawSkewedIndex are defined in node.cpp.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}
    /// Uniform in [0, 1): the upper 53 bits of a draw, divided by 2^53.
    double drawUniform() { return static_cast<double>(generator_() >> 11) / 9007199254740992.0; }
    /// Exponentially distributed with the given mean.
    double drawExponential(double mean);
    /// Uniform over all 64-bit values, for use as a seed.
    std::uint64_t drawSeed() { return generator_(); }
    /// Index below `count` with a Zipf-like distribution: the n-th index (counted from 1) is drawn about
    /// 1 / n^skew times as often as the first. A skew of 0 is uniform.
    std::size_t drawSkewedIndex(std::size_t count, double skew);
    /// Uniform index below `count`.
    std::size_t drawIndex(std::size_t count) {
        return static_cast<std::size_t>(drawUniform() * static_cast<double>(count));
    }

private:
    std::mt19937_64 generator_;
};

/// Keeps fractions of a millisecond.
inline double toMs(Duration duration) { return static_cast<double>(duration.count()) / 1000; }
/// Rounds to the nearest microsecond, for values that aren't negative.
inline Duration fromMs(double ms) { return Duration{static_cast<std::int64_t>(ms * 1000 + 0.5)}; }

}  // namespace arrowstile::lab
