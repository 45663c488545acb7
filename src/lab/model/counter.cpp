#include "counter.hpp"

#include <algorithm>

namespace arrowstile::lab {

void Counter::deleteExpired(Timestamp now) {
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto found = counts_.find(expiries_.begin()->second);
        // The count may have been deleted and created anew since, with a later expiry.
        if (found != counts_.end() && found->second.expiresAt <= now) counts_.erase(found);
        expiries_.erase(expiries_.begin());
    }
}

AddResult Counter::add(Timestamp now, CountName name, double amount, Duration lifetime) {
    ++requestCount_;
    if (mode_ == CounterMode::silent) return {};
    const Duration serviceTime =
        fromMs(1000 * static_cast<double>(shardBusyUntil_.size()) / spec_.requestsPerSecond * slowdown_);
    Timestamp &busyUntil = shardBusyUntil_[name.value % shardBusyUntil_.size()];
    if (mode_ == CounterMode::rejecting || busyUntil > now + serviceTime * spec_.maxQueueLength) {
        ++rejectedCount_;
        return {false, true, 0, now};
    }
    deleteExpired(now);
    busyUntil = std::max(busyUntil, now) + serviceTime;
    const auto [entry, isNew] = counts_.try_emplace(name);
    if (isNew) {
        entry->second.expiresAt = now + std::min(lifetime, fromMs(60000));
        expiries_.emplace(entry->second.expiresAt, name);
    }
    entry->second.total += amount;
    return {true, true, entry->second.total, busyUntil};
}

}  // namespace arrowstile::lab
