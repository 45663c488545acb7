/// \file
/// Time types and identifiers shared by the events, the actions and the settings of the decision engine.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace arrowstile {

/// A length of time.
using Duration = std::chrono::microseconds;

/// A point in time, as the time since the epoch of the caller's clock. The gateway program uses the Unix
/// epoch, so that all gateways compute the same quota windows. It is the same type as Duration; the compiler
/// doesn't tell them apart.
using Timestamp = std::chrono::microseconds;

/// An identifier of one kind. `Tag` makes each kind a type of its own, so that an id of one kind can't be
/// passed as an id of another.
template <class Tag, class Number>
struct Id {
    Number value{};
    auto operator<=>(const Id &) const = default;
};

/// An API call; chosen by the caller of the engine and unique within one engine.
using CallId = Id<struct CallTag, std::uint64_t>;
/// A client's connection.
using ClientId = Id<struct ClientTag, std::uint64_t>;
/// A worker. The gateway program derives it from the worker's name, so that all gateways use the same id.
using WorkerId = Id<struct WorkerTag, std::uint32_t>;
/// A customer, who holds a quota.
using CustomerId = Id<struct CustomerTag, std::uint64_t>;
/// Index into EngineSettings::routes.
using RouteId = Id<struct RouteTag, std::uint8_t>;
/// Index into EngineSettings::plans.
using PlanId = Id<struct PlanTag, std::uint16_t>;
/// Index into the list of availability zones in the settings.
using ZoneId = Id<struct ZoneTag, std::uint8_t>;
/// Index into the list of worker types in the settings.
using WorkerTypeId = Id<struct WorkerTypeTag, std::uint8_t>;
/// A group of workers that detect repeats of tokened calls together (see DedupScope::group).
using WorkerGroupId = Id<struct WorkerGroupTag, std::uint16_t>;
/// Number of an upstream try within its call, counted from 0.
using TryNumber = Id<struct TryTag, std::uint8_t>;
/// Tells the timers of one engine apart.
using TimerToken = Id<struct TimerTag, std::uint64_t>;
/// Name of a count on the counter service: a 64-bit hash.
using CountName = Id<struct CountTag, std::uint64_t>;
/// Number of a gateway, counted from 0.
using GatewayIndex = Id<struct GatewayTag, std::uint32_t>;

}  // namespace arrowstile
