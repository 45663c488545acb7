#include "counter.hpp"

#include <algorithm>

namespace arrowstile::lab {

void Counter::forget(Timestamp now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
        const auto found = numbers_.find(ends_.begin()->second);
        if (found != numbers_.end() && found->second.until <= now) numbers_.erase(found);
        ends_.erase(ends_.begin());
    }
}

Counted Counter::add(Timestamp now, CountName name, double amount, Duration keep) {
    ++calls_;
    if (way_ == CounterWay::silent) return {};
    const Duration each = fromMs(1000 * static_cast<double>(busyUntil_.size()) / spec_.perSecond * slower_);
    Timestamp &busy = busyUntil_[name.value % busyUntil_.size()];
    if (way_ == CounterWay::refuses || busy > now + each * spec_.waiting) {
        ++turnedAway_;
        return {false, true, 0, now};
    }
    forget(now);
    busy = std::max(busy, now) + each;
    const auto [at, fresh] = numbers_.try_emplace(name);
    if (fresh) {
        at->second.until = now + std::min(keep, fromMs(60000));
        ends_.emplace(at->second.until, name);
    }
    at->second.total += amount;
    return {true, true, at->second.total, busy};
}

}  // namespace arrowstile::lab
