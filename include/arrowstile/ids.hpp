#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace arrowstile {

/// A time is the span since the start of the clock that the caller hands in.
using Span = std::chrono::microseconds;

/// Each kind of id is a type of its own, so that none can stand in for another.
template <class Tag, class Number>
struct Id {
    Number value{};
    auto operator<=>(const Id &) const = default;
};

using CallId = Id<struct CallTag, std::uint64_t>;
using WorkerId = Id<struct WorkerTag, std::uint32_t>;
using CustomerId = Id<struct CustomerTag, std::uint64_t>;
using RouteId = Id<struct RouteTag, std::uint8_t>;
using PlanId = Id<struct PlanTag, std::uint16_t>;
using ZoneId = Id<struct ZoneTag, std::uint8_t>;
using KindId = Id<struct KindTag, std::uint8_t>;
using CellId = Id<struct CellTag, std::uint16_t>;
using TryNumber = Id<struct TryTag, std::uint8_t>;
using TimerToken = Id<struct TimerTag, std::uint64_t>;
using CountName = Id<struct CountTag, std::uint64_t>;
using GatewayRank = Id<struct GatewayTag, std::uint32_t>;

}  // namespace arrowstile
