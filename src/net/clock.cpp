#include "clock.hpp"

#include <algorithm>
#include <chrono>

namespace arrowstile {
namespace {

constexpr std::int64_t slowest = 1000;  // of the time passed, one part in so many may be a correction

template <class Source>
Timestamp read() {
    return std::chrono::duration_cast<Timestamp>(Source::now().time_since_epoch());
}

}  // namespace

Clock::Clock()
    : offset_(read<std::chrono::system_clock>() - read<std::chrono::steady_clock>()),
      corrected_(read<std::chrono::steady_clock>()) {}

Timestamp Clock::now() {
    const Timestamp steady = read<std::chrono::steady_clock>();
    if (const Duration most = (steady - corrected_) / slowest; most > Duration{}) {
        const Duration off = read<std::chrono::system_clock>() - steady - offset_;
        offset_ += std::clamp(off, -most, most);
        corrected_ = steady;
    }
    return steady + offset_;
}

Alarms::Key Alarms::set(Timestamp due, std::function<void()> act) {
    const Key key{due, ++last_};
    acts_.emplace(key, std::move(act));
    return key;
}

std::optional<Timestamp> Alarms::next() const {
    return acts_.empty() ? std::nullopt : std::optional(acts_.begin()->first.first);
}

void Alarms::run(Timestamp now) {
    while (!acts_.empty() && acts_.begin()->first.first <= now) {
        const auto act = std::move(acts_.begin()->second);
        acts_.erase(acts_.begin());
        act();
    }
}

}  // namespace arrowstile
