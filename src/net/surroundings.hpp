#pragma once

#include <uv.h>

#include <arrowstile/actions.hpp>
#include <arrowstile/events.hpp>
#include <vector>

#include "clock.hpp"
#include "core/metrics.hpp"
#include "core/resource_limits.hpp"
#include "core/start_document.hpp"
#include "log.hpp"

namespace arrowstile {

/// What every adapter works with; the gateway owns it and outlives them.
struct Surroundings {
    uv_loop_t *loop;
    StartDocument start;  ///< of the addresses in it the latest, the rest as it was at the start
    Log &log;
    const ResourceLimits limits{start.maxSockets, start.maxMemoryMb};
    Clock clock{};
    Alarms alarms{};
    Metrics metrics{};
    std::vector<Event> happened{};  ///< since the decisions were last asked
    Timestamp readAt{};             ///< when sockets were last read: what is read now has come since
};

}  // namespace arrowstile
