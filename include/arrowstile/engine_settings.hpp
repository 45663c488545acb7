/// \file
/// The settings of the decision engine: what is fixed when a gateway starts.
#pragma once

#include <arrowstile/ids.hpp>
#include <limits>
#include <vector>

namespace arrowstile {

/// What a route allows after a try that may have run.
enum class Effect : std::uint8_t {
    idempotent,    ///< running a call twice does no harm
    tokened,       ///< workers recognize a repeat by the call's id, within the limits of DedupScope
    nonIdempotent  ///< must not run twice
};

/// Which workers recognize a repeat of a tokened call that one of them has run.
enum class DedupScope : std::uint8_t {
    all,   ///< all workers
    zone,  ///< those in the same availability zone
    group  ///< those in the same group (WorkerEntry::group)
};

/// How workers report their load.
enum class LoadReportMode : std::uint8_t {
    none,
    inReplies,  ///< in their replies to tries
    byProbe     ///< in their replies to probes
};

/// Meaning of one column of a worker's load report. Not used by the current engine.
enum class LoadMetric : std::uint8_t {
    inFlight,           ///< calls accepted and not yet answered
    queueLength,        ///< calls waiting to run
    utilization,        ///< fraction, 1 is fully busy
    latencyMs,          ///< latency of calls in the worker
    callsPerSecond,     ///< calls the worker handles
    failuresPerSecond,  ///< calls that fail
    other               ///< a column without a meaning to the engine
};

/// How discovery delivers the list of workers.
enum class DiscoveryMode : std::uint8_t {
    pushed,    ///< discovery announces each change
    onRequest  ///< only when asked; a fetch that fails is reported as WorkerListKind::failed
};

/// One kind of API call.
struct Route {
    Effect effect{};
    DedupScope dedupScope{};
    Duration dedupWindow{};    ///< how long workers recognize a repeat of a tokened call
    Duration latencyTarget{};  ///< an answer within this time is in time
    Duration clientTimeout{};  ///< how long clients wait for an answer
    double billedValue = 1;    ///< value of a call answered in time, before the plan's price
    double lateShare = 0;      ///< setting `lateShare`; not used by the current engine
    bool isStreamed = false;   ///< setting `stream`; not used by the current engine
};

/// A customer's tariff: a quota on the rate (token bucket), a cap on concurrent tries, a hard ceiling.
struct Plan {
    double rate = 0;              ///< refill of the quota, units a second; 0: no quota on the rate
    double burst = 0;             ///< capacity of the quota's bucket, units
    unsigned openCap = 0;         ///< maximum number of concurrent upstream tries; 0: no cap
    double price = 1;             ///< factor on the billed value of the customer's calls
    double extraWorth = 0;        ///< setting `extraWorth`; not used by the current engine
    double overrunCost = 0;       ///< setting `overrunCost`; not used by the current engine
    double ceilingRate = 0;       ///< hard bound on the rate, units a second; 0: no ceiling
    double ceilingBurst = 0;      ///< capacity of the ceiling's bucket, units
    double ceilingTolerance = 0;  ///< setting `tolerance`; not used by the current engine
};

/// The settings of one gateway's engine. They stay as they are from its start on; nothing in here is measured
/// or tuned at run time.
struct EngineSettings {
    unsigned gatewayCount = 1;
    GatewayIndex gatewayIndex;  ///< of this gateway among all
    ZoneId zone;                ///< of this gateway
    std::vector<Route> routes;
    std::vector<Plan> plans;

    bool mayUseCounter = false;        ///< without the counter each gateway limits by its own share
    bool hasActualUnits = false;       ///< workers' replies state the actual cost of a call in units
    double maxUnits = 1;               ///< largest cost of one call that clients may state
    Duration counterTimeout{};         ///< expected upper bound of the counter's latency
    double counterPrice = 0;           ///< setting `counterPrice`; not used by the current engine
    Duration usagePeriod{};            ///< setting `usePeriodMs`; not used by the current engine
    double peerMessagesPerSecond = 0;  ///< setting `mailPerS`; not used by the current engine

    bool mayCancel = false;            ///< tries may be cancelled
    bool mayProbe = false;             ///< not used by the current engine, which sends no probes
    bool maySendPeerMessages = false;  ///< without it the gateway program opens no socket for peer messages
    bool mayDuplicate = false;         ///< setting `mayDuplicate`; not used by the current engine
    bool maySendRetryAfter = false;    ///< rate-limited answers may carry a retry-after time
    unsigned maxTries = 1;             ///< upstream tries per call, the first included
    /// Upstream tries of this gateway at once, which its connections bound. Not in the settings object.
    std::size_t maxTriesInFlight = std::numeric_limits<std::size_t>::max();
    /// Customers with limits that are remembered, which this gateway's memory bounds. Not in the settings
    /// object.
    std::size_t maxCustomers = std::numeric_limits<std::size_t>::max();
    Duration maxRetryAfter{};   ///< longest retry-after time in a rate-limited answer
    Duration connectTimeout{};  ///< for connecting to a worker, and for a probe

    DiscoveryMode discoveryMode{};
    LoadReportMode loadReportMode{};
    std::vector<LoadMetric> loadColumns;  ///< columns of a load report, in order

    /// How much later than the client's timeout an answer may come. Used by the laboratory's checks only.
    Duration answerSlack{};
    /// How long tries may still go to a worker that began to drain. Used by the laboratory's checks only.
    Duration drainGrace{};
    Duration askWithin{};  ///< setting `askWithinMs`; not used by the current engine

    /// Capacity of a worker at its start, as a fraction of its capacity when warm. It rises in proportion to
    /// time until `warmUp` has passed.
    double coldCapacityFraction = 1;
    Duration warmUp{};
    /// A cold worker crashes when the work sent to it within `coldOverloadWindow` exceeds its present
    /// capacity for that time by this factor.
    double coldOverloadFactor = 1;
    Duration coldOverloadWindow{};
    Duration tickInterval{};  ///< setting `tickMs`; not used by the current engine
};

}  // namespace arrowstile
