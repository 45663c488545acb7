#pragma once

#include <arrowstile/ids.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace arrowstile::lab {

/// Virtual time: what is due, in order of time and, at one moment, in the order in which it was set.
class Agenda {
public:
    void at(Timestamp due, std::function<void()> act) { due_.push({due, ++last_, std::move(act)}); }
    Timestamp now() const { return now_; }
    std::uint64_t done() const { return done_; }

    void run(Timestamp until) {
        while (!due_.empty() && due_.top().due <= until) {
            const Entry next = std::move(const_cast<Entry &>(due_.top()));  // popped in the next line
            due_.pop();
            now_ = next.due;
            ++done_;
            next.act();
        }
        now_ = until;
    }

private:
    struct Entry {
        Timestamp due;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const Entry &other) const {
            return std::pair(due, number) > std::pair(other.due, other.number);
        }
    };
    std::priority_queue<Entry> due_;
    Timestamp now_{};
    std::uint64_t last_ = 0, done_ = 0;
};

/// Seeded chance. The generator is the standard library's; distributions are worked out here, since the
/// standard leaves their sequence open and a seed has to give the same report everywhere.
class Chance {
public:
    explicit Chance(std::uint64_t seed) : source_(seed) {}
    double part() { return static_cast<double>(source_() >> 11) / 9007199254740992.0; }
    double exponential(double mean);
    std::uint64_t number() { return source_(); }
    /// One of so many, the n-th 1 / n^skew times as often as the first.
    std::size_t skewed(std::size_t count, double skew);
    std::size_t below(std::size_t count) {
        return static_cast<std::size_t>(part() * static_cast<double>(count));
    }

private:
    std::mt19937_64 source_;
};

inline double inMs(Duration span) { return static_cast<double>(span.count()) / 1000; }
inline Duration fromMs(double ms) { return Duration{static_cast<std::int64_t>(ms * 1000 + 0.5)}; }

}  // namespace arrowstile::lab
