/// \file
/// Model of the counter, the shared counting service, in virtual time and without I/O.
#pragma once

#include <map>
#include <optional>

#include "event_queue.hpp"

namespace arrowstile::lab {

/// How the counter treats requests; the modes other than `serving` are injected faults.
enum class CounterMode : std::uint8_t {
    serving,
    rejecting,  ///< rejects every request at once, without effect
    silent      ///< never replies, and adds nothing
};

/// Capacity of the counter.
struct CounterSpec {
    double requestsPerSecond = 1000;  ///< over all shards
    unsigned maxQueueLength = 100;    ///< requests that may wait per shard; further ones are rejected
    unsigned shardCount = 1;          ///< counts are spread by name over shards of equal capacity
};

/// Result of one request to the counter.
struct AddResult {
    bool isAdded = false;
    bool isAnswered = false;  ///< false: the counter never replies
    double total = 0;         ///< the count after the addition; valid if isAdded
    Timestamp repliedAt{};    ///< when the reply or the rejection leaves the counter; valid if isAnswered
};

/// The counter: its counts and their expiry, its queue, and its injected faults.
class Counter {
public:
    explicit Counter(const CounterSpec &spec) : spec_(spec), shardBusyUntil_(std::max(1u, spec.shardCount)) {}

    /// Adds `amount` to a count and returns its total. A count that doesn't exist is created and expires
    /// after `lifetime`, at most 60 s. Calls must be in order of time.
    AddResult add(Timestamp now, CountName name, double amount, Duration lifetime);
    void setMode(CounterMode mode) { mode_ = mode; }
    /// Multiplies the service time of each request; 1 is normal.
    void setSlowdown(double factor) { slowdown_ = factor; }
    /// Deletes all counts, as a restart of the service would.
    void deleteCounts() { counts_.clear(); }
    /// Number of requests received, in every mode.
    std::uint64_t requestCount() const { return requestCount_; }
    /// Number of requests rejected.
    std::uint64_t rejectedCount() const { return rejectedCount_; }

private:
    struct Count {
        double total = 0;
        Timestamp expiresAt{};
    };
    void deleteExpired(Timestamp now);

    CounterSpec spec_;
    CounterMode mode_ = CounterMode::serving;
    double slowdown_ = 1;
    std::vector<Timestamp> shardBusyUntil_;  // by shard: when it has served all requests accepted so far
    std::map<CountName, Count> counts_;
    std::multimap<Timestamp, CountName> expiries_;
    std::uint64_t requestCount_ = 0;
    std::uint64_t rejectedCount_ = 0;
};

}  // namespace arrowstile::lab
