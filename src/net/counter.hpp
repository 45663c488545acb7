#pragma once

#include <memory>
#include <set>
#include <vector>

#include "core/http.hpp"
#include "stream.hpp"
#include "surroundings.hpp"

namespace arrowstile {

/// The side that faces the counter. A call that gets no answer in time is reported so, and its connection
/// takes no further one until the answer comes: it may be late, or never.
class Counter {
public:
    explicit Counter(Surroundings &around);
    ~Counter();

    void add(const AddToCount &action);
    void flush();
    /// The address has changed: calls under way end on their connections, which then are given back.
    void move();

private:
    struct Link;

    Link *connect();
    void drop(Link &link, bool answered);
    void ended(CountName name, Timestamp sentAt, Outcome outcome, double total);
    void sweep();

    Surroundings &around_;
    std::vector<std::unique_ptr<Link>> links_;  // the one used last stands last
    std::set<Link *> unflushed_;
};

}  // namespace arrowstile
