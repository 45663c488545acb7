#pragma once

#include <map>
#include <optional>

#include "agenda.hpp"

namespace arrowstile::lab {

enum class CounterWay : std::uint8_t { serves, refuses, silent };

struct CounterSpec {
    double perSecond = 1000;
    unsigned waiting = 100;  ///< calls in line beyond which further ones are turned away
    unsigned parts = 1;      ///< names are split over so many, each with an even part of the calls a second
};

struct Counted {
    bool added = false, answered = false;
    double total = 0;
    Timestamp at{};  ///< when the answer, or the refusal, leaves
};

/// The counter service without I/O: names, their life, its line and what may become of it.
class Counter {
public:
    explicit Counter(const CounterSpec &spec) : spec_(spec), busyUntil_(std::max(1u, spec.parts)) {}

    Counted add(Timestamp now, CountName name, double amount, Duration keep);
    void way(CounterWay way) { way_ = way; }
    void slower(double times) { slower_ = times; }
    void empty() { numbers_.clear(); }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t turnedAway() const { return turnedAway_; }

private:
    struct Number {
        double total = 0;
        Timestamp until{};
    };
    void forget(Timestamp now);

    CounterSpec spec_;
    CounterWay way_ = CounterWay::serves;
    double slower_ = 1;
    std::vector<Timestamp> busyUntil_;
    std::map<CountName, Number> numbers_;
    std::multimap<Timestamp, CountName> ends_;
    std::uint64_t calls_ = 0, turnedAway_ = 0;
};

}  // namespace arrowstile::lab
