/// \file
/// The state that all parts of a running gateway share.
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

/// What the connections to clients, workers, the counter, discovery and peers all use. The Gateway owns it
/// and it outlives them. Everything runs on the thread of the event loop.
struct ServerContext {
    uv_loop_t *loop;
    /// A reload replaces the addresses of discovery, the counter and the peers; the rest stays as at the
    /// start.
    StartDocument startDocument;
    Log &log;
    const ResourceLimits limits{startDocument.maxSockets, startDocument.maxMemoryMb};
    Clock clock{};
    TimerQueue timers{};
    Metrics metrics{};
    std::vector<Event> pendingEvents{};  ///< observed, but not yet passed to the decision engine
    /// When the loop last read its sockets: data that is read now has arrived since then.
    Timestamp lastReadAt{};
};

}  // namespace arrowstile
