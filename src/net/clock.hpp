#pragma once

#include <arrowstile/ids.hpp>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace arrowstile {

/// Time since the Unix epoch, as all machines read it: windows and turns fall together on all gatekeepers. It
/// runs with the steady clock and closes in on the system's, so that a step of that ends no API call.
class Clock {
public:
    Clock();
    Timestamp now();

private:
    Duration offset_;
    Timestamp corrected_;
};

/// What is to be done at a time, in order of time and then of asking.
class Alarms {
public:
    using Key = std::pair<Timestamp, std::uint64_t>;

    Key set(Timestamp due, std::function<void()> act);
    void clear(Key key) { acts_.erase(key); }
    std::optional<Timestamp> next() const;
    void run(Timestamp now);

private:
    std::map<Key, std::function<void()>> acts_;
    std::uint64_t last_ = 0;
};

}  // namespace arrowstile
