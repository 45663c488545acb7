/// \file
/// The decision engine: DecisionEngine of arrowstile/decision_engine.hpp. It receives the events of one
/// gateway with their times and returns the actions to carry out. It does no I/O and reads no clock.
///
/// Rate limiting follows a published design with a cached two-window estimate. Each customer's use is counted
/// in fixed windows on the shared counter. quotaAdmits() decides a call at once from the cached totals of the
/// current and the previous window. reportCount() adds each admitted call to the counter in the background,
/// and the reply refreshes the cache. docs/design.md lists where the engine departs from the published
/// design.
///
/// These mechanisms stand beside the estimate, in this order of the file:
/// - Requests to the counter, which are paced by its latency and failures: tryTakeRequestTokens(),
///   adjustRequestRate(), isCounterTrusted(), rereadTotals().
/// - Hard bounds: ceilings in ceilingAdmits(), caps on open tries in openCapAdmits() and decideHeldCalls().
/// - Calls wait while the list of workers is in doubt or all tries are taken: sendWaitingCalls(),
///   awaitFreeTry(), expireWaitingCalls().
/// - Retry queue: serveRetryQueue(), mayRetry().
/// - Load balancing with a concurrency limit for each worker: pickWorker(), rebuildWorkerOrder(),
///   rankWorkers(), adjustConcurrencyLimit().
/// - Outlier ejection by worker and route: recordOutcome(), cancelOvertakenTries().
/// - Slow start of cold workers: warmUpLimit().
#include <algorithm>
#include <array>
#include <arrowstile/decision_engine.hpp>
#include <bit>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <ranges>
#include <tuple>
#include <utility>

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(10);
constexpr TimerToken kTickToken{1};

// Quotas and open caps.

/// Fraction of the burst. Below this level of the quota's bucket the totals are read again.
constexpr double kRereadBelowBurstFraction = 0.5;
/// Minimum time between two such reads of a customer's current window.
constexpr Duration kRereadInterval = milliseconds(100);
/// After an open cap was reached, time for which any cached total counts as too old to decide about it.
constexpr Duration kCapReachedPeriod = milliseconds(3000);
/// Length of the windows (epochs) in which open tries are counted. It also stands for the window length of
/// plans without a quota on the rate.
constexpr Duration kOpenCountEpoch = milliseconds(20000);
/// Longest lifetime of a count on the counter.
constexpr Duration kMaxCountLifetime = milliseconds(60000);

// Retry-after times.

/// Number of retry-after times that fit into a route's latency target.
constexpr int kRetriesPerLatencyTarget = 3;
/// A retry-after time is shortened at random by up to this fraction.
constexpr double kRetryAfterJitterFraction = 0.5;

// Requests to the counter. Rates and the burst are those of all gateways together, of which each gateway has
// an even share, unless the name says otherwise.

constexpr double kInitialRequestsPerSecond = 600;
/// Lower bound of the rate while the counter is slow or fails.
constexpr double kMinRequestsPerSecond = 15;
/// Lower bound of each gateway's own rate, which lets it notice within about a second that the counter works
/// again.
constexpr double kMinRequestsPerSecondPerGateway = 1;
/// Increase of the rate within a second in which the whole rate is used and the counter answers fast.
constexpr double kRequestRateIncreasePerSecond = 1200;
/// The rate is multiplied by this when the counter is slow or fails.
constexpr double kRequestRateCutFactor = 0.7;
/// Number of requests that may be sent at once after a pause: the capacity of the token bucket.
constexpr double kMaxRequestBurst = 60;
/// Maximum number of customers in the report queue that a tick examines.
constexpr std::size_t kMaxQueueChecksPerTick = 64;

/// Number of customers that are examined to find one that gives way to another.
constexpr std::size_t kEvictionSampleCount = 32;

// Load balancing.

/// Number of healthy warm workers that a gateway uses at least, if there are as many.
constexpr double kMinUsedWorkerCount = 8;
/// Initial concurrency limit of a worker: tries of all gateways together.
constexpr double kInitialConcurrencyLimit = 6;
/// Maximum increase of a worker's concurrency limit after one answer, for all gateways together.
constexpr double kMaxLimitIncrease = 4;
/// Penalty in the ranking for workers of other zones, as a fraction of the route's mean latency.
constexpr double kOtherZonePenaltyFraction = 0.15;
/// Fraction of a worker's concurrency limit that a call of low value may fill when it is restricted, and the
/// minimum probability that it isn't restricted. See pickWorker().
constexpr double kLowValueLimitFraction = 0.6;
/// Fraction of a route's latency target. An answer that took longer counts as slow and reduces the worker's
/// concurrency limit.
constexpr double kSlowLatencyFraction = 0.2;
/// Fraction of a route's latency target. An answer that took less may raise the worker's concurrency limit.
constexpr double kFastLatencyFraction = 0.08;

// Outlier ejection.

/// Time for which a worker is ejected, for each recent failure. After an overloaded reply it is ejected for
/// half of this time.
constexpr Duration kEjectionBase = milliseconds(250);
/// After an ejection, time for which a worker that still counts as failing gets no non-idempotent calls.
constexpr Duration kNonIdempotentReturnDelay = milliseconds(2000);
/// A worker counts as failing on a route when more than this fraction of its recent tries there failed.
constexpr double kFailingFraction = 0.3;
/// Minimum number of tries on a route before a worker may count as failing there.
constexpr std::size_t kMinHealthSampleCount = 4;
/// A try is overdue after this multiple of its route's mean latency, times (1 + units of the call).
constexpr double kOverdueLatencyFactor = 3;

// Slow start.

/// Minimum number of gateways for them to take turns at a cold worker that can't take one try of each. With
/// fewer gateways each may always have one try there.
constexpr std::size_t kMinGatewayCountForTurns = 8;

// Local failures.

/// Pause before a call is tried again after this machine could not connect.
constexpr Duration kLocalFailureRetryDelay = milliseconds(20);

double toMs(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

Duration fromMs(double durationMs) { return Duration{std::llround(durationMs * 1000)}; }

/// Whether nothing reached the worker.
bool isUndelivered(Outcome outcome) {
    return outcome == Outcome::connectFailed || outcome == Outcome::notSent ||
           outcome == Outcome::localFailure;
}

/// Hashes a 64-bit value, with the final mixing step of SplitMix64.
std::uint64_t mix64(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

/// The last `capacity` samples of a measurement.
template <std::size_t capacity>
struct RecentSamples {
    void add(double sample) { samples[addedCount++ % capacity] = sample; }
    std::size_t size() const { return std::min(addedCount, capacity); }
    double sum() const { return std::accumulate(samples.begin(), samples.begin() + size(), 0.0); }
    /// Returns `fallback` when there is no sample.
    double mean(double fallback) const { return addedCount > 0 ? sum() / double(size()) : fallback; }

    std::array<double, capacity> samples{};  ///< 0 where no sample was added yet
    std::size_t addedCount = 0;              ///< samples ever added
};

/// A route's settings, and what was measured of its calls on all workers.
struct RouteState : Route {
    RecentSamples<64> latenciesMs;  ///< of answered tries
    /// Estimated service times: the same latencies, each cut at kSlowLatencyFraction of the target. What
    /// exceeds that is taken as time spent in the worker's queue.
    RecentSamples<64> serviceTimesMs;
    /// Most workers in use fail on this route. The cause is something they share and no worker is a better
    /// choice, so none is ejected for it.
    bool isFailureCommon = false;
};

/// Health of a worker on one route: a fault may affect one route and spare the others.
struct RouteHealth {
    RecentSamples<16> failures;  ///< 1 for a failed try, 0 for an answered one
    Timestamp ejectedUntil{};
};

/// A worker on discovery's list, or one that left it while tries are still in flight.
struct Worker {
    WorkerEntry entry;
    int triesInFlight = 0;        ///< of this gateway
    int connectionFailures = 0;   ///< since its last answer
    double concurrencyLimit = 1;  ///< tries in flight of all gateways together
    /// Tries in flight up to which pickWorker() fills this worker in its first pass: their number at the last
    /// ranking plus one.
    double spreadLimit = 1;
    Timestamp firstListedAt{};               ///< when this process of it was first on a list here
    double rankKey = 1;                      ///< expected relative latency; the lowest is tried first
    RecentSamples<16> relativeLatencies;     ///< of its answers, divided by the mean latency of the route
    RecentSamples<4> answeredTriesSentAtMs;  ///< when the last tries that it answered had been sent
    Timestamp ejectedUntil{};                ///< for all routes
    Timestamp limitReducedAt{};              ///< when its latency last reduced the concurrency limit
    /// When it last answered a try, with a result, an error or as overloaded. Zero: not yet.
    Timestamp lastReplyAt{};
    std::vector<RouteHealth> healthByRoute;
    bool isRemovable() const { return entry.state == WorkerState::gone && triesInFlight == 0; }
};

/// This gateway's cached state of one count on the counter service, which belongs to one customer and one
/// window. Amounts are in units or open tries, depending on CountKind.
struct CachedCount {
    std::int64_t windowIndex = -1;
    double total = 0;          ///< by the last reply
    double confirmed = 0;      ///< this gateway's part of `total`
    double inRequest = 0;      ///< this gateway's additions in the request that is in flight
    double unreported = 0;     ///< this gateway's additions that were not sent yet; may be negative
    double unconfirmed = 0;    ///< this gateway's additions in failed requests that may have had an effect
    bool hasTotal = false;     ///< a reply was received
    bool isRequested = false;  ///< a request for this count is in flight
    bool needsReport = false;  ///< a change has not been sent yet
    Timestamp totalReadAt{};   ///< when the last reply was received
    Duration totalCovers{};    ///< how much of the window, from its start, the last reply covers
    /// The other gateways' part of `total` that has been taken out of Customer::bucketLevel.
    double othersInBucket = 0;
    /// Use through all gateways, as far as it is known here.
    double usage() const { return total + inRequest + unreported + unconfirmed; }
    double ownUsage() const { return confirmed + inRequest + unreported + unconfirmed; }
    double othersUsage() const { return hasTotal ? std::max(0.0, total - confirmed) : 0; }
};

/// What a count measures: units used in a window, or tries that are open.
enum class CountKind : std::uint8_t { units, openTries };

/// Why a request is sent to the counter.
enum class ReportReason : std::uint8_t {
    change,      ///< calls were admitted, or tries opened or closed
    read,        ///< the total is needed, whether or not there is something to add
    queueTurn,   ///< the customer's turn in the report queue has come
    firstTotals  ///< a call waits for the customer's first totals
};

/// The two windows of the estimate, or two epochs of the count of open tries.
struct WindowPair {
    CachedCount current, previous;
    /// Finds the count of a window. Returns nullptr when the window is neither the current nor the previous
    /// one.
    CachedCount *find(std::int64_t windowIndex) {
        return current.windowIndex == windowIndex    ? &current
               : previous.windowIndex == windowIndex ? &previous
                                                     : nullptr;
    }
    /// Makes the given window the current one.
    void advanceTo(std::int64_t windowIndex) {
        if (windowIndex != current.windowIndex) {
            previous = windowIndex == current.windowIndex + 1 ? current
                                                              : CachedCount{.windowIndex = windowIndex - 1};
            current = CachedCount{.windowIndex = windowIndex};
        }
    }
};

/// A customer with a recent call. kCustomerBytes (resource_limits.cpp) follows its size.
struct Customer {
    PlanId plan;
    unsigned subsetSize = 1;  ///< gateways over which the customer's calls are spread
    WindowPair unitCounts, openCounts;
    int ownOpenTries = 0;              ///< tries of this gateway, including one for each of heldCalls
    Timestamp capReachedAt{};          ///< when the open cap was last found reached; zero: never
    Timestamp openSharePausedUntil{};  ///< openCapShare() is zero until then
    /// Calls held until the counter has counted their tries against the open cap, oldest first.
    std::vector<CallId> heldCalls;
    std::vector<CallId> callsAwaitingTotals;  ///< calls that wait for the customer's first totals
    /// Number of heldCalls, from the front, whose tries the request in flight counts.
    std::size_t heldInRequest = 0;
    bool hasTotals = false;  ///< a total of units was received
    bool isQueued = false;   ///< in Impl::reportQueue
    /// Units a millisecond that the other gateways admit, by the last totals. Never above the plan's rate,
    /// since the quota limits them too.
    double othersUnitsPerMs = 0;
    double bucketLevel = 0;  ///< units in the quota's token bucket, all gateways considered
    /// Units that were taken out of bucketLevel since the last total on the assumption that the other
    /// gateways admit othersUnitsPerMs.
    double assumedOthersUnits = 0;
    double ceilingLevel = 0;  ///< units in this gateway's share of the ceiling's bucket
    Timestamp bucketUpdatedAt{}, ceilingUpdatedAt{};
    Timestamp lastCallAt{};
    bool hasReturned = false;  ///< has made more than one call
};

/// A call that has no final answer yet, or whose try is still in flight.
struct Call : CallReceived {
    Timestamp receivedAt{};
    Timestamp deadline{};        ///< when the client stops waiting
    Timestamp sentAt{};          ///< when the last try was sent
    Timestamp retryNotBefore{};  ///< after a local failure
    unsigned triesSent = 0;
    unsigned triesFailedLocally = 0;  ///< of triesSent; they don't count against the maximum
    bool hasTryInFlight = false;
    bool isHeld = false;          ///< in Customer::heldCalls or callsAwaitingTotals
    bool isAdmitted = false;      ///< within the customer's limits, as far as decided before it is sent
    bool isClosed = false;        ///< the engine must not answer it any more
    bool isTryCancelled = false;  ///< CancelTry was returned for the last try
    WorkerId lastWorker{};        ///< of the last try
    /// Set once a worker may have run it: counted from that worker's try. Only tokened calls may be repeated
    /// by it.
    std::optional<RepeatTerms> repeatTerms;
    RepeatTerms lastTryTerms;  ///< what repeatTerms becomes if the last try may have run
    bool mayHaveRun() const { return repeatTerms.has_value(); }
    std::int64_t openEpoch = -1;  ///< epoch in which its try was counted as open; -1: none
};

}  // namespace

struct DecisionEngine::Impl {
    Impl(const EngineSettings &engineSettings, std::uint64_t seed)
        : settings(engineSettings), randomState(mix64(seed)) {
        for (const Route &route : settings.routes) routes.push_back({route});
        rankWorkers();
        requestsPerSecond = gatewayShare(kInitialRequestsPerSecond);
        requestTokens = maxRequestTokens();
    }

    EngineSettings settings;
    Plan unlimitedPlan;  ///< stands in for plans that are missing in the settings
    std::uint64_t randomState;
    std::vector<RouteState> routes;
    std::map<WorkerId, Worker> workers;
    std::vector<Worker *> readyWorkers;   ///< all ready workers, in this gateway's fixed order of preference
    std::vector<Worker *> rankedWorkers;  ///< those that this gateway uses at present, best first
    std::map<CallId, Call> calls;
    std::map<CustomerId, Customer> customers;  ///< those with limits
    Customer customerWithoutLimits;            ///< stands in for all others
    /// Requests to the counter in flight, with the customer, kind and window of the count.
    std::map<CountName, std::tuple<CustomerId, CountKind, std::int64_t>> counterRequests;
    /// Calls without a try that wait for a usable list of workers, or for another try to end.
    std::deque<CallId> waitingCalls;
    std::deque<CallId> retryQueue;        ///< calls whose last try has ended without an answer to the client
    std::deque<CustomerId> reportQueue;   ///< customers with a count to report, or with held calls
    RecentSamples<64> recentValuesPerMs;  ///< valuePerMs() of admitted calls
    RecentSamples<16> recentLatenciesMs;  ///< of answered tries on any route
    RecentSamples<32> recentSendGapsMs;   ///< between consecutive tries
    double requestsPerSecond = 0;         ///< rate of requests to the counter that is allowed at present
    double requestTokens = 0;             ///< level of the token bucket for requests to the counter
    double usualLatencyMs = 0;            ///< mean of the recent latencies, when last ranked
    double usualServiceTimeMs = 0;        ///< mean over all routes, when last ranked
    Timestamp now{};                      ///< time of the event that is being handled
    /// When a share of a ceiling was last forgotten before it was full again; at first the time of the first
    /// event.
    Timestamp ceilingsForgottenAt{};
    Timestamp requestTokensUpdatedAt{};
    Timestamp requestRateReducedAt{};
    Timestamp counterAnsweredAt{};  ///< when the counter last replied, be it with an error
    Timestamp lastTrySentAt{};
    /// The latest start of a worker less the time at which it was listed here, over all of them. The clock by
    /// which the workers state their starts is ahead of this gateway's by at least this.
    Duration minClockDifference = -Duration::max() / 2;
    bool isTicking = false;           ///< the periodic timer was started
    bool isCounterFailing = false;    ///< the last request to the counter failed
    bool isListUsable = true;         ///< calls may be sent by the present list of workers
    std::size_t triesInFlight = 0;    ///< at all workers
    bool isRankingStale = true;       ///< rankWorkers() must run before the next choice of a worker
    std::size_t warmWorkerCount = 0;  ///< ready workers that are not cold
    CustomerId lastCheckedCustomer;   ///< position of evictIdleCustomers()
    std::vector<Action> actions;      ///< to be returned for the current event

    /// Implements DecisionEngine::handle().
    std::vector<Action> handle(Timestamp eventTime, const Event &event) {
        now = eventTime;
        actions.clear();
        if (!std::exchange(isTicking, true)) {
            ceilingsForgottenAt = requestTokensUpdatedAt = now;
            actions.push_back(SetTimer{now + kTickInterval, kTickToken});
        }
        std::visit([this](const auto &typedEvent) { on(typedEvent); }, event);
        return std::move(actions);
    }

    // ---- Quotas: the cached two-window estimate ----

    const Plan &planOf(PlanId id) const {
        return id.value < settings.plans.size() ? settings.plans[id.value] : unlimitedPlan;
    }

    static bool hasRateQuota(const Plan &plan) { return plan.rate > 0 && plan.burst > 0; }

    /// Length of the windows in which a customer's units are counted: the time in which the quota's bucket
    /// fills. Never zero.
    Duration windowLength(const Plan &plan) const {
        return hasRateQuota(plan) ? Duration{1} + fromMs(plan.burst / plan.rate * 1000) : kOpenCountEpoch;
    }

    /// Returns the time shifted by an offset that depends on the customer only. Windows are derived from it,
    /// so that those of different customers don't all change at the same moment.
    Timestamp shiftedNow(CustomerId id, Duration length) const {
        return now + Duration{static_cast<std::int64_t>(mix64(id.value) >> 1) % length.count()};
    }

    static bool hasLimits(const Plan &plan) {
        return hasRateQuota(plan) || plan.openCap > 0 || plan.ceilingRate > 0;
    }

    /// Finds or creates the state of the call's customer and updates it from the call. Returns nullptr if
    /// there is no memory for a new customer. Without limits there is nothing to remember of one.
    Customer *customerOf(const CallReceived &received) {
        const auto known = customers.find(received.customer);
        const bool isNew = known == customers.end();
        if (isNew && !hasLimits(planOf(received.plan))) {
            customerWithoutLimits = {};
            customerWithoutLimits.plan = received.plan;
            return &customerWithoutLimits;
        }
        if (isNew && customers.size() >= settings.maxCustomers && !evictCustomerForAnother()) return nullptr;
        Customer &customer = isNew ? customers[received.customer] : known->second;
        customer.plan = received.plan;
        customer.subsetSize = std::clamp(received.gatewaySubsetSize, 1u, settings.gatewayCount);
        customer.lastCallAt = now;
        customer.hasReturned = !isNew;
        if (!isNew) return &customer;
        customer.ceilingUpdatedAt = ceilingsForgottenAt;
        customer.bucketUpdatedAt = now;
        customer.bucketLevel = planOf(received.plan).burst;
        // Until the first totals arrive, the other gateways are assumed to use all but an even share.
        customer.othersUnitsPerMs = planOf(received.plan).rate / 1000 * (1 - 1.0 / customer.subsetSize);
        return &customer;
    }

    /// Decides from the cache whether the customer's quota on the rate has room for a call. A customer
    /// without totals and without use through this gateway is always admitted.
    bool quotaAdmits(CustomerId id, Customer &customer, double units) {
        const Plan &plan = planOf(customer.plan);
        if (!hasRateQuota(plan)) return true;
        const double limit = plan.rate * toMs(windowLength(plan)) / 1000;
        advanceQuota(id, customer);
        const double own = customer.unitCounts.current.ownUsage() + customer.unitCounts.previous.ownUsage();
        if (!customer.hasTotals && own <= 0) return true;
        // The estimate lets the previous window's use fade in proportion to time, while the quota refills at
        // its rate. After a burst the estimate alone would therefore reject calls with half of the quota
        // unused. In that case the bucket's level decides, with room left for calls that other gateways
        // admitted and that are in no total yet.
        const double unseenFactor = std::max(1.0, customer.subsetSize / 2.0 - 1);
        return estimatedUsage(id, customer) + units <= limit ||
               (customer.hasTotals && customer.bucketLevel >= units * unseenFactor);
    }

    /// Moves the customer's windows and the level of the quota's bucket on to the present.
    void advanceQuota(CustomerId id, Customer &customer) {
        const Plan &plan = planOf(customer.plan);
        const Duration length = windowLength(plan);
        customer.unitCounts.advanceTo(shiftedNow(id, length) / length);
        const double elapsedMs = toMs(now - customer.bucketUpdatedAt);
        const double othersUnits = customer.othersUnitsPerMs * elapsedMs;
        customer.bucketLevel =
            std::min(plan.burst, customer.bucketLevel + plan.rate / 1000 * elapsedMs - othersUnits);
        customer.assumedOthersUnits += othersUnits;
        customer.bucketUpdatedAt = now;
    }

    /// Estimated units used within the last window length through all gateways: those of the current window,
    /// and those of the previous window in proportion to the part of it that still counts.
    ///
    /// For the time that no total covers, the other gateways are assumed to go on at othersUnitsPerMs.
    /// Without that, each gateway would compare with old totals and all together would exceed the limit.
    /// Before the first reply this leaves the gateway an even share of the quota; in an outage of the counter
    /// it leaves what the others didn't use by the last replies.
    double estimatedUsage(CustomerId id, const Customer &customer) const {
        const Duration length = windowLength(planOf(customer.plan));
        const Duration elapsed = shiftedNow(id, length) % length;
        const CachedCount &current = customer.unitCounts.current, &previous = customer.unitCounts.previous;
        const double unseenCurrent = customer.othersUnitsPerMs * toMs(elapsed - current.totalCovers);
        const double unseenPrevious = customer.othersUnitsPerMs * toMs(length - previous.totalCovers);
        return current.usage() + unseenCurrent +
               (previous.usage() + unseenPrevious) * (1 - toMs(elapsed) / toMs(length));
    }

    /// Returns a random number in [0, 1). PCG-XSH-RR with 64 bits of state and 32 bits of output.
    double randomFraction() {
        const std::uint64_t old = randomState;
        randomState = old * 6364136223846793005ull + 1442695040888963407ull;
        const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
        return std::rotr(shifted, static_cast<int>(old >> 59)) / 4294967296.0;
    }

    /// Answers a call as rate-limited, with a retry-after time where the settings allow it.
    ///
    /// The latency target counts from the client's first call: a retry after the target uses quota and earns
    /// next to nothing, and a rate-limited answer that late has a cost. So the time is short enough for all
    /// of a client's retries to fit into the target.
    void answerRateLimited(CallId id, RouteId route) {
        const Duration maxDelay =
            std::min(settings.maxRetryAfter, routes[route.value].latencyTarget / kRetriesPerLatencyTarget);
        const Duration delay = fromMs(toMs(maxDelay) * (1 - kRetryAfterJitterFraction * randomFraction()));
        actions.push_back(
            AnswerRateLimited{id, settings.maySendRetryAfter ? std::optional(delay) : std::nullopt});
    }

    // ---- Requests to the counter: reports, pacing, trust ----

    /// Name of a count: a hash of customer, kind and window, which is the same on all gateways.
    CountName countName(CustomerId id, CountKind kind, std::int64_t windowIndex) const {
        return {mix64(mix64(id.value * 2 + (kind == CountKind::openTries)) ^
                      static_cast<std::uint64_t>(windowIndex))};
    }

    /// Requests the addition of everything that was not yet added to a count, if the pace allows a request
    /// now; else queues the customer. The reply brings the total.
    ///
    /// Additions accumulate while a request for the same count is in flight or the counter fails, because the
    /// counter also works on requests whose sender has stopped waiting. None is dropped.
    void reportCount(CustomerId id, CountKind kind, CachedCount &count, Duration length,
                     ReportReason reason = ReportReason::change) {
        const bool isRead = reason == ReportReason::read;
        if (!settings.mayUseCounter || count.windowIndex < 0 || count.isRequested ||
            !(count.needsReport || isRead))
            return;
        Customer &customer = customers.at(id);
        const bool isAwaited = reason == ReportReason::firstTotals ||
                               (kind == CountKind::openTries && !customer.heldCalls.empty());
        if (count.unreported == 0 && !isRead && !isAwaited) return;
        // A change gives way to those of customers that are queued already: it is sent now only if half of
        // the token bucket is left, else it is queued and waits for its turn by urgency. Reads give way
        // always.
        const bool givesWay =
            isRead || (reason == ReportReason::change && !isAwaited && !reportQueue.empty());
        const bool maySend = tryTakeRequestTokens(givesWay ? maxRequestTokens() / 2 : 1);
        if (!maySend && count.needsReport) enqueueReport(id, customer);
        if (!maySend) return;
        count.needsReport = false;
        const CountName name = countName(id, kind, count.windowIndex);
        counterRequests[name] = {id, kind, count.windowIndex};
        // Longer than the counter is expected to take: a late reply still shows whether the addition was
        // carried out.
        const Duration timeout = 4 * settings.counterTimeout;
        // A count is read during its own window and the next one. The lifetime covers one more.
        actions.push_back(
            AddToCount{name, count.unreported, std::min(kMaxCountLifetime, 3 * length), timeout});
        count.inRequest = std::exchange(count.unreported, 0);
        count.isRequested = true;
        if (kind == CountKind::openTries) customer.heldInRequest = customer.heldCalls.size();
    }

    /// Priority of a customer in the report queue: its unreported use in relation to what is left of its
    /// quota and open cap. When the pace doesn't allow reports for all customers, those with the highest
    /// value come first. Customers with held calls come before all others.
    double reportUrgency(CustomerId id) const {
        const Customer &customer = customers.at(id);
        const Plan &plan = planOf(customer.plan);
        if (!customer.heldCalls.empty()) return kMaxCountLifetime.count();  // above any other
        const double open = std::abs(customer.openCounts.current.unreported) / std::max(1u, plan.openCap);
        if (!hasRateQuota(plan)) return open;
        const double units = std::abs(customer.unitCounts.current.unreported) +
                             std::abs(customer.unitCounts.previous.unreported);
        return open + units / std::max(1.0, plan.burst - estimatedUsage(id, customer));
    }

    /// Queues the customer for a report, unless it is queued already. Customers with held calls go to the
    /// front.
    void enqueueReport(CustomerId id, Customer &customer) {
        if (std::exchange(customer.isQueued, true)) return;
        customer.heldCalls.empty() ? reportQueue.push_back(id) : reportQueue.push_front(id);
    }

    /// Reads a customer's totals again if the quota is nearly used up and they are older than
    /// kRereadInterval. Called when the customer makes a call. A customer whose calls are all rate-limited
    /// here causes no reports, so without this its totals would not change while the other gateways go on
    /// admitting its calls.
    void rereadTotals(CustomerId id, Customer &customer) {
        const Plan &plan = planOf(customer.plan);
        if (!hasRateQuota(plan) || customer.bucketLevel > kRereadBelowBurstFraction * plan.burst) return;
        CachedCount &current = customer.unitCounts.current, &previous = customer.unitCounts.previous;
        const Duration length = windowLength(plan);
        if (now - current.totalReadAt > kRereadInterval)
            reportCount(id, CountKind::units, current, length, ReportReason::read);
        if (previous.hasTotal && previous.totalCovers < length)
            reportCount(id, CountKind::units, previous, length, ReportReason::read);
    }

    void reportAllCounts(CustomerId id, Customer &customer, ReportReason reason = ReportReason::change) {
        const Duration length = windowLength(planOf(customer.plan));
        for (auto window : {&WindowPair::current, &WindowPair::previous}) {
            reportCount(id, CountKind::units, customer.unitCounts.*window, length, reason);
            reportCount(id, CountKind::openTries, customer.openCounts.*window, kOpenCountEpoch, reason);
        }
    }

    /// Updates the cache from the counter's reply and decides the calls that waited for it.
    void on(const AddToCountEnded &ended) {
        const auto request = counterRequests.find(ended.name);
        if (request == counterRequests.end()) return;
        const auto [id, kind, windowIndex] = request->second;
        counterRequests.erase(request);
        const bool isAnswered = ended.outcome == Outcome::answered;
        // For the pace an error reply counts like a total: both show that the counter works.
        if (ended.outcome != Outcome::localFailure)
            adjustRequestRate(isAnswered || ended.outcome == Outcome::errored, ended.latency);
        const auto found = customers.find(id);
        if (found == customers.end()) return;
        Customer &customer = found->second;
        CachedCount *count =
            (kind == CountKind::units ? customer.unitCounts : customer.openCounts).find(windowIndex);
        if (count == nullptr) return;
        const double added = std::exchange(count->inRequest, 0);
        count->isRequested = false;
        if (isAnswered) {
            // The counter replies in the order of the requests, so this total includes the unconfirmed
            // additions if they have arrived at all.
            count->confirmed += added + std::exchange(count->unconfirmed, 0);
            // A total below this gateway's own part means that the counter has lost additions. The own part
            // counts in its place until the window ends.
            count->total = std::max(ended.total, count->confirmed);
            count->hasTotal = true;
            count->totalReadAt = now;
            if (kind == CountKind::units) {
                advanceQuota(id, customer);
                const Duration length = windowLength(planOf(customer.plan));
                const bool isCurrent = count == &customer.unitCounts.current;
                count->totalCovers = isCurrent ? shiftedNow(id, length) % length : length;
                // Replaces the assumed use of the other gateways by the use that the total shows.
                customer.bucketLevel -=
                    count->othersUsage() - count->othersInBucket - customer.assumedOthersUnits;
                count->othersInBucket = count->othersUsage();
                const CachedCount &current = customer.unitCounts.current,
                                  &previous = customer.unitCounts.previous;
                // At least a quarter of a window, so that a few units in a short time don't give a high rate.
                const double coveredMs =
                    std::max(toMs(current.totalCovers + previous.totalCovers), toMs(length) / 4);
                const double othersUnitsPerMs = (current.othersUsage() + previous.othersUsage()) / coveredMs;
                customer.othersUnitsPerMs = std::min(othersUnitsPerMs, planOf(customer.plan).rate / 1000);
                customer.hasTotals = true;
                customer.assumedOthersUnits = 0;
            }
        } else if (ended.outcome == Outcome::overloaded || isUndelivered(ended.outcome)) {
            // Nothing was added.
            count->unreported += added;
            count->needsReport = true;
        } else {
            count->unconfirmed += added;
        }
        if (kind == CountKind::openTries && count == &customer.openCounts.current)
            decideHeldCalls(customer, isAnswered, count->total);
        if (!isAnswered ||
            !(customer.unitCounts.current.isRequested || customer.unitCounts.previous.isRequested))
            decideCallsAwaitingTotals(id, customer);
        // After a local failure the next attempt waits for a tick, or it would fail at once again.
        ended.outcome == Outcome::localFailure ? enqueueReport(id, customer) : reportAllCounts(id, customer);
    }

    /// Whether decisions may rely on the counter: the settings allow its use, and its last request succeeded
    /// or it has replied within the last four timeouts.
    bool isCounterTrusted() const {
        return settings.mayUseCounter &&
               (!isCounterFailing || now - counterAnsweredAt < 4 * settings.counterTimeout);
    }

    // Requests to the counter are paced by a token bucket whose rate follows the counter's latency and
    // failures (additive increase, multiplicative decrease). The counter also works on requests whose sender
    // has stopped waiting, so sending more than it can take would yield fewer replies. The pacing covers a
    // slow, overloaded, silent or rejecting counter and a very large number of gateways.

    /// Even share of this gateway in a figure of all gateways together.
    double gatewayShare(double ofAllGateways) const { return ofAllGateways / settings.gatewayCount; }
    /// Lower bound of the rate. However many gateways there are, each of them notices within about a second
    /// that the counter works again.
    double minRequestsPerSecond() const {
        return std::max(kMinRequestsPerSecondPerGateway, gatewayShare(kMinRequestsPerSecond));
    }
    /// Capacity of the token bucket. At least four, however many gateways there are.
    double maxRequestTokens() const { return std::max(4.0, gatewayShare(kMaxRequestBurst)); }

    /// Refills the token bucket and returns whether it holds `required` tokens. If so, takes `taken` of them.
    bool tryTakeRequestTokens(double required, double taken = 1) {
        requestTokens =
            std::min(maxRequestTokens(),
                     requestTokens + requestsPerSecond * toMs(now - requestTokensUpdatedAt) / 1000);
        requestTokensUpdatedAt = now;
        return requestTokens >= required && (requestTokens -= taken, true);
    }

    /// Adapts the rate of requests after one has ended: raises it after a reply within a quarter of
    /// counterTimeout, reduces it after a failure or a reply that took over half of counterTimeout. It is
    /// reduced at most once in a counterTimeout.
    void adjustRequestRate(bool hasReply, Duration latency) {
        isCounterFailing = !hasReply;
        if (hasReply) counterAnsweredAt = now;
        if (hasReply && 4 * latency < settings.counterTimeout) {
            requestsPerSecond =
                requestsPerSecond + gatewayShare(kRequestRateIncreasePerSecond) / requestsPerSecond;
        } else if ((!hasReply || 2 * latency > settings.counterTimeout) &&
                   now - requestRateReducedAt > settings.counterTimeout) {
            requestsPerSecond = std::max(minRequestsPerSecond(), requestsPerSecond * kRequestRateCutFactor);
            requestTokens = std::min(requestTokens, 1.0);
            requestRateReducedAt = now;
        }
    }

    // ---- Hard bounds: ceilings and caps on open tries ----

    /// Decides whether this gateway's share of the customer's ceiling has room for a call, without taking the
    /// units. The share is an even part of the ceiling, in a bucket that is empty when the gateway starts, so
    /// that a restart can't give back what was spent before.
    bool ceilingAdmits(Customer &customer, double units) {
        const Plan &plan = planOf(customer.plan);
        if (plan.ceilingRate <= 0) return true;
        const double refill =
            plan.ceilingRate / customer.subsetSize * toMs(now - customer.ceilingUpdatedAt) / 1000;
        customer.ceilingLevel =
            std::min(plan.ceilingBurst / customer.subsetSize, customer.ceilingLevel + refill);
        customer.ceilingUpdatedAt = now;
        return customer.ceilingLevel >= units;
    }

    /// Number of open tries that this gateway allows a customer without the counter: an even share of the
    /// open cap. Where the share is below one, the gateway allows one try and then pauses in proportion (see
    /// countOpenTry()), because one try at each gateway at all times would exceed the cap by far.
    unsigned openCapShare(const Customer &customer) const {
        return now < customer.openSharePausedUntil
                   ? 0
                   : std::max(1u, planOf(customer.plan).openCap / customer.subsetSize);
    }

    bool wasCapRecentlyReached(const Customer &customer) const {
        return customer.capReachedAt != Timestamp{} && now - customer.capReachedAt < kCapReachedPeriod;
    }

    /// Estimates how many of the other gateways' tries in a total are still open. Tries end soon, so the
    /// number decays exponentially from the time of the total, with a time constant of three usual latencies.
    double othersStillOpen(const CachedCount &count) const {
        return count.othersUsage() * std::exp(-toMs(now - count.totalReadAt) / usualLatencyMs / 3);
    }

    /// Decides whether the customer's cap on open tries may have room for one more. If the cap was recently
    /// reached, only this gateway's own tries are compared here: with a trusted counter the call is held
    /// afterwards until the exact number is read, and without one the limit is this gateway's share.
    bool openCapAdmits(CustomerId id, Customer &customer) {
        const Plan &plan = planOf(customer.plan);
        if (plan.openCap == 0) return true;
        customer.openCounts.advanceTo(shiftedNow(id, kOpenCountEpoch) / kOpenCountEpoch);
        const double others =
            othersStillOpen(customer.openCounts.current) + othersStillOpen(customer.openCounts.previous);
        const double limit =
            isCounterTrusted() || !wasCapRecentlyReached(customer) ? plan.openCap : openCapShare(customer);
        const bool hasRoom = customer.ownOpenTries + (wasCapRecentlyReached(customer) ? 0 : others) < limit;
        if (!hasRoom) customer.capReachedAt = now;
        return hasRoom;
    }

    /// Decides held calls. With a reply these are the calls that the request counted, and `total`, the number
    /// of open tries in the reply, is compared with the whole cap. Without a reply these are all held calls,
    /// and this gateway's own tries are compared with its share of the cap.
    void decideHeldCalls(Customer &customer, bool hasReply, double total) {
        if (!hasReply) customer.heldInRequest = customer.heldCalls.size();
        const double cap = planOf(customer.plan).openCap;
        const double limit = hasReply ? cap : openCapShare(customer);
        // Open tries without those of the held calls, which the total and ownOpenTries include.
        double open = hasReply ? total + othersStillOpen(customer.openCounts.previous) -
                                     static_cast<double>(customer.heldInRequest)
                               : customer.ownOpenTries - static_cast<double>(customer.heldCalls.size());
        if (total >= cap) customer.capReachedAt = now;
        const auto end = customer.heldCalls.begin() + static_cast<std::ptrdiff_t>(customer.heldInRequest);
        const std::vector<CallId> decided(customer.heldCalls.begin(), end);
        customer.heldCalls.erase(customer.heldCalls.begin(), end);
        customer.heldInRequest = 0;
        for (const CallId id : decided) {
            Call &call = calls.at(id);
            if (!call.isClosed && ++open <= limit) {
                sendFirstTry(id, call, customer);
            } else {
                countOpenTry(call, -1);
                if (!call.isClosed) answerRateLimited(id, call.route);
                calls.erase(id);
            }
        }
    }

    /// Whether a call waits for the customer's first totals before its quota is compared.
    ///
    /// Before its first reply a gateway admits its even share of the limit, but at least one call. Where many
    /// gateways serve a customer and the share is below one unit, that adds up to a multiple of the limit.
    /// The call then waits once, as the published design does for the first read of a process; later calls
    /// are decided from the cache. Calls with little time left don't wait, and those of plans with an open
    /// cap are decided in decideHeldCalls().
    bool needsFirstTotals(const Customer &customer, const CallReceived &received) const {
        const Plan &plan = planOf(received.plan);
        const bool isUnknown =
            !customer.unitCounts.current.hasTotal && !customer.unitCounts.previous.hasTotal;
        return hasRateQuota(plan) && plan.openCap == 0 && isUnknown && plan.burst / customer.subsetSize < 1 &&
               isCounterTrusted() && received.timeRemaining > 4 * settings.counterTimeout;
    }

    /// Holds a call until the customer's first totals arrive, and requests them. The request already adds the
    /// call's units; decideCallsAwaitingTotals() subtracts them again.
    void requestFirstTotals(CustomerId id, Customer &customer, Call &call) {
        const Duration length = windowLength(planOf(customer.plan));
        customer.callsAwaitingTotals.push_back(call.call);
        call.isHeld = true;
        customer.unitCounts.current.unreported += call.units;
        customer.unitCounts.current.needsReport = true;
        reportCount(id, CountKind::units, customer.unitCounts.current, length, ReportReason::firstTotals);
        if (!customer.unitCounts.current.isRequested) return decideCallsAwaitingTotals(id, customer);
        reportCount(id, CountKind::units, customer.unitCounts.previous, length, ReportReason::read);
    }

    /// Decides the calls that wait for first totals, from the cache as it is now.
    void decideCallsAwaitingTotals(CustomerId id, Customer &customer) {
        const auto waiting = std::exchange(customer.callsAwaitingTotals, {});
        if (waiting.empty()) return;
        // requestFirstTotals() has added these units. sendFirstTry() adds those of the admitted calls once
        // more.
        for (const CallId callId : waiting) customer.unitCounts.current.unreported -= calls.at(callId).units;
        customer.unitCounts.current.needsReport = true;
        for (const CallId callId : waiting) {
            Call &call = calls.at(callId);
            call.isHeld = false;
            if (!call.isClosed && quotaAdmits(id, customer, call.units)) {
                sendFirstTry(callId, call, customer);
            } else {
                if (!call.isClosed) answerRateLimited(callId, call.route);
                calls.erase(callId);
            }
        }
    }

    /// Counts the try of a call as open (`change` is 1) or no longer open (-1), here and at the counter, if
    /// the plan has a cap. A try is subtracted from the count of the epoch in which it was added.
    void countOpenTry(Call &call, int change) {
        const auto found = customers.find(call.customer);
        if (found == customers.end() || planOf(call.plan).openCap == 0) return;
        Customer &customer = found->second;
        customer.openCounts.advanceTo(shiftedNow(call.customer, kOpenCountEpoch) / kOpenCountEpoch);
        customer.ownOpenTries = std::max(0, customer.ownOpenTries + change);
        const double share = static_cast<double>(planOf(call.plan).openCap) / customer.subsetSize;
        if (change > 0) call.openEpoch = customer.openCounts.current.windowIndex;
        // With a share below one, the pause makes the average number of open tries equal to the share.
        if (change < 0)
            customer.openSharePausedUntil = now + fromMs(std::max(0.0, 1 / share - 1) * usualLatencyMs);
        if (CachedCount *count = customer.openCounts.find(call.openEpoch)) {
            count->unreported += change;
            count->needsReport = true;
            reportCount(call.customer, CountKind::openTries, *count, kOpenCountEpoch);
        }
    }

    // ---- API calls and upstream tries ----

    /// Admits a call and sends it, holds it until the counter replies, or answers it as rate-limited.
    void on(const CallReceived &received) {
        if (calls.contains(received.call)) return;
        if (received.route.value >= routes.size()) return actions.push_back(AnswerErrored{received.call});
        if (!isListUsable) {
            calls[received.call] = {received, now, now + received.timeRemaining};
            waitingCalls.push_back(received.call);
            return;
        }
        admit(received, now);
    }

    /// Decides about a call that was received at `receivedAt`.
    void admit(const CallReceived &received, Timestamp receivedAt) {
        Customer *const found = customerOf(received);
        if (found == nullptr) return refuse(received);
        Customer &customer = *found;
        advanceQuota(received.customer, customer);
        const bool awaitsTotals = needsFirstTotals(customer, received);
        if ((!awaitsTotals && !quotaAdmits(received.customer, customer, received.units)) ||
            !openCapAdmits(received.customer, customer) || !ceilingAdmits(customer, received.units)) {
            refuse(received);
            return rereadTotals(received.customer, customer);
        }
        Call &call = calls[received.call] = {received, receivedAt, receivedAt + received.timeRemaining};
        if (awaitsTotals) return requestFirstTotals(received.customer, customer, call);
        // If the open cap was recently reached, any cached total is too old to decide. Where an even share of
        // the cap is below one, so is a total that is older than the usual latency. In both cases the try is
        // first counted at the counter, and the call is held until the reply decides about it.
        const CachedCount &open = customer.openCounts.current;
        const bool isTotalTooOld =
            planOf(call.plan).openCap < customer.subsetSize && toMs(now - open.totalReadAt) > usualLatencyMs;
        call.isHeld = planOf(call.plan).openCap > 0 && (wasCapRecentlyReached(customer) || isTotalTooOld) &&
                      isCounterTrusted() && received.timeRemaining > 4 * settings.counterTimeout;
        if (!call.isHeld) return sendFirstTry(received.call, call, customer);
        enqueueReport(received.customer, customer);
        customer.heldCalls.push_back(received.call);
        countOpenTry(call, 1);
        // Without a request in flight no reply will come.
        if (!customer.openCounts.current.isRequested) decideHeldCalls(customer, false, 0);
    }

    /// Answers a call that is not admitted.
    void refuse(const CallReceived &received) {
        answerRateLimited(received.call, received.route);
        calls.erase(received.call);
    }

    /// Sends an admitted call to a worker and takes its units from quota and ceiling. Gives the call up if no
    /// worker can take it, or if the ceiling has no room any more after the call was held.
    void sendFirstTry(CallId id, Call &call, Customer &customer) {
        call.isAdmitted = true;
        if (!isListUsable) return waitingCalls.push_back(id);
        if (!hasFreeTry()) return awaitFreeTry(id, call);
        recentValuesPerMs.add(valuePerMs(call));
        const auto worker = ceilingAdmits(customer, call.units) ? pickWorker(call) : std::nullopt;
        if (!worker) {
            if (call.isHeld) countOpenTry(call, -1);
            return giveUp(id, call);
        }
        customer.ceilingLevel -= call.units;
        sendTry(id, call, *worker);
        if (!hasRateQuota(planOf(customer.plan))) return;
        customer.bucketLevel -= call.units;
        customer.unitCounts.current.unreported += call.units;
        customer.unitCounts.current.needsReport = true;
        reportCount(call.customer, CountKind::units, customer.unitCounts.current,
                    windowLength(planOf(customer.plan)));
        rereadTotals(call.customer, customer);
    }

    void sendTry(CallId id, Call &call, WorkerId workerId) {
        Worker &worker = workers.at(workerId);
        ++triesInFlight;
        ++worker.triesInFlight;
        ++call.triesSent;
        recentSendGapsMs.add(toMs(now - std::exchange(lastTrySentAt, now)));
        call.hasTryInFlight = true;
        call.isTryCancelled = false;
        call.lastWorker = workerId;
        call.sentAt = now;
        const RouteState &route = routes[call.route.value];
        call.lastTryTerms = {now + route.dedupWindow, route.dedupScope, worker.entry.zone,
                             worker.entry.group};
        actions.push_back(sendTryAction(id, call, worker));
        // The try of a held call is counted as open already.
        if (!std::exchange(call.isHeld, false)) countOpenTry(call, 1);
    }

    /// The action that sends a call to a worker, with what is to be asked again before its first byte.
    SendTry sendTryAction(CallId id, const Call &call, const Worker &worker) const {
        SendTry action{id, worker.entry.worker, call.deadline};
        if (routes[call.route.value].effect == Effect::tokened) action.repeat = call.repeatTerms;
        if (isCold(worker) && settings.coldOverloadWindow > Duration{})
            action.latestStart = now + settings.coldOverloadWindow;
        return action;
    }

    /// Records the outcome of a try. If the call still has no final answer, it joins the retry queue. The try
    /// that is free now goes to a retry or to a waiting call at once.
    void on(const TryEnded &ended) {
        triesInFlight -= std::min<std::size_t>(triesInFlight, 1);
        const auto worker = workers.find(ended.worker);
        if (worker != workers.end()) recordOutcome(worker->second, ended);
        const auto found = calls.find(ended.call);
        if (found != calls.end() && found->second.hasTryInFlight) endTry(ended, found->second, worker);
        serveRetryQueue();
        sendWaitingCalls();
    }

    /// Brings a call up to date after its try has ended.
    void endTry(const TryEnded &ended, Call &call, std::map<WorkerId, Worker>::iterator worker) {
        call.hasTryInFlight = false;
        if (ended.outcome == Outcome::localFailure) {
            ++call.triesFailedLocally;
            call.retryNotBefore = now + kLocalFailureRetryDelay;
        }
        const bool neverRan = isUndelivered(ended.outcome) || ended.outcome == Outcome::overloaded;
        if (worker != workers.end())
            worker->second.triesInFlight = std::max(0, worker->second.triesInFlight - 1);
        if (!neverRan && !call.mayHaveRun()) call.repeatTerms = call.lastTryTerms;
        countOpenTry(call, -1);
        if (ended.actualUnits) correctUnits(call, *ended.actualUnits - call.units);
        if (!call.isClosed && !ended.isCallClosed) retryQueue.push_back(ended.call);
        if (call.isClosed || ended.isCallClosed) calls.erase(ended.call);
    }

    /// Corrects the customer's use once the actual cost of a call is known. `difference` is the actual cost
    /// less the stated one. The estimate is right at once, the counter with the next addition.
    void correctUnits(const Call &call, double difference) {
        const auto found = customers.find(call.customer);
        if (found == customers.end() || !hasRateQuota(planOf(call.plan))) return;
        advanceQuota(call.customer, found->second);
        found->second.bucketLevel -= difference;
        found->second.unitCounts.current.unreported += difference;
    }

    /// The reply belongs to the client from here on, so the call is neither cancelled nor answered.
    void on(const TryStreamStarted &started) {
        if (const auto found = calls.find(started.call); found != calls.end()) found->second.isClosed = true;
    }

    /// Cancels the call's try if that is allowed. The call's state is kept while a try is in flight or the
    /// call is held.
    void on(const CallAbandoned &abandoned) {
        const auto found = calls.find(abandoned.call);
        if (found == calls.end() || std::exchange(found->second.isClosed, true)) return;
        const Call &call = found->second;
        const auto lastTry = static_cast<std::uint8_t>(call.triesSent - 1);
        if (call.hasTryInFlight && settings.mayCancel)
            actions.push_back(CancelTry{abandoned.call, {lastTry}});
        if (!call.hasTryInFlight && !call.isHeld) calls.erase(found);
    }

    /// Gives the final answer of a call that won't be tried again. It is rate-limited if repeating the call
    /// does no harm, as that answer guarantees, else errored.
    void giveUp(CallId id, const Call &call) {
        const RouteState &route = routes[call.route.value];
        // The client's repeat may be sent to any worker.
        const bool isSafeAnywhere = route.effect == Effect::idempotent || route.dedupScope == DedupScope::all;
        const bool isRepeatHarmless = isRepeatSafe(call) && (!call.mayHaveRun() || isSafeAnywhere);
        isRepeatHarmless ? answerRateLimited(id, call.route) : actions.push_back(AnswerErrored{id});
        calls.erase(id);
    }

    // ---- Calls that wait before their first try ----

    /// Whether one more try may be sent, to whatever worker.
    bool hasFreeTry() const { return triesInFlight < settings.maxTriesInFlight; }

    /// Keeps an admitted call waiting until another try ends. No more calls wait than tries may be in flight,
    /// so that the wait is about the time of one try; the others are given up at once.
    void awaitFreeTry(CallId id, Call &call) {
        if (waitingCalls.size() >= settings.maxTriesInFlight || !hasTimeForFirstTry(call))
            return endWaitingCall(id, call);
        waitingCalls.push_back(id);
    }

    /// Holds all tries back while the list of workers can't be used, and sends what waited once it can.
    void on(const WorkerListUsableChanged &changed) {
        isListUsable = changed.isUsable;
        if (!isListUsable) return;
        sendWaitingCalls();
        serveRetryQueue();
    }

    /// Goes on with the calls that wait, as far as they may be sent now.
    void sendWaitingCalls() {
        while (isListUsable && hasFreeTry() && !waitingCalls.empty()) {
            const CallId id = waitingCalls.front();
            waitingCalls.pop_front();
            const auto found = calls.find(id);
            if (found != calls.end()) resumeCall(id, found->second);
        }
    }

    /// Goes on with a call that waited.
    void resumeCall(CallId id, Call &call) {
        if (call.isClosed || !hasTimeForFirstTry(call)) return endWaitingCall(id, call);
        if (!call.isAdmitted) return admit(CallReceived(call), call.receivedAt);
        Customer *const customer = customerOf(call);
        if (customer == nullptr) return endWaitingCall(id, call);
        sendFirstTry(id, call, *customer);
    }

    /// Ends a call that waited in vain.
    void endWaitingCall(CallId id, Call &call) {
        if (call.isHeld) countOpenTry(call, -1);
        if (!call.isClosed) return giveUp(id, call);
        calls.erase(id);
    }

    /// Gives up the calls that have waited for too long.
    void expireWaitingCalls() {
        std::erase_if(waitingCalls, [this](CallId id) {
            const auto found = calls.find(id);
            if (found == calls.end()) return true;
            if (!found->second.isClosed && hasTimeForFirstTry(found->second)) return false;
            endWaitingCall(id, found->second);
            return true;
        });
    }

    /// Whether a call that no worker has run may still be sent. Only in the first half of its time, because a
    /// later rate-limited answer costs the client more. Two ticks are kept in reserve, since a waiting call
    /// may have to wait for a tick.
    bool hasTimeForFirstTry(const Call &call) const {
        return now < call.receivedAt + call.timeRemaining / 2 - 2 * kTickInterval;
    }

    // ---- Retry queue ----

    /// Whether there is time for another try and the route allows one.
    bool mayRetry(const Call &call) const {
        const bool hasTime =
            call.mayHaveRun() ? now < call.deadline - 2 * kTickInterval : hasTimeForFirstTry(call);
        return hasTime && call.triesSent - call.triesFailedLocally < settings.maxTries &&
               isRepeatSafe(call) && now < call.receivedAt + routes[call.route.value].latencyTarget;
    }

    /// Whether nothing that will pass by itself keeps a queued call from its next try.
    bool mayTryNow(const Call &call) const {
        return isListUsable && hasFreeTry() && now >= call.retryNotBefore;
    }

    /// Whether another try does no harm: the call hasn't run, or is idempotent, or workers still recognize
    /// the repeat of a tokened call.
    bool isRepeatSafe(const Call &call) const {
        if (!call.mayHaveRun()) return true;
        switch (routes[call.route.value].effect) {
            case Effect::idempotent: return true;
            case Effect::tokened: return isWithinRepeatWindow(*call.repeatTerms, now);
            case Effect::nonIdempotent: return false;
        }
        return false;
    }

    bool isNonIdempotent(const Call &call) const {
        return routes[call.route.value].effect == Effect::nonIdempotent;
    }

    /// Whether a worker may get the next try of a call: if the call may have run and is tokened, only workers
    /// that would recognize the repeat.
    bool isInDedupScope(const Call &call, const Worker &worker) const {
        const bool isTokened = routes[call.route.value].effect == Effect::tokened;
        return !isTokened || !call.mayHaveRun() || isWithinRepeatScope(*call.repeatTerms, worker.entry);
    }

    /// Retries each queued call for which there is a worker, and gives up those that mayRetry() rules out.
    /// The others stay queued.
    void serveRetryQueue() {
        for (std::size_t remaining = retryQueue.size(); remaining > 0; --remaining) {
            const CallId id = retryQueue.front();
            retryQueue.pop_front();
            const auto found = calls.find(id);
            if (found == calls.end()) continue;
            Call &call = found->second;
            if (!mayRetry(call)) {
                giveUp(id, call);
            } else if (const auto worker = mayTryNow(call) ? pickWorker(call) : std::nullopt) {
                sendTry(id, call, *worker);
            } else {
                retryQueue.push_back(id);
            }
        }
    }

    // ---- Load balancing ----

    /// Billed value of a call for each millisecond of worker time. While workers are busy, calls with a lower
    /// value give way first.
    double valuePerMs(const Call &call) const {
        const RouteState &route = routes[call.route.value];
        return route.billedValue * planOf(call.plan).price /
               route.serviceTimesMs.mean(kSlowLatencyFraction * toMs(route.latencyTarget));
    }

    /// Returns the worker for the next try of a call, or nullopt if none can take one now.
    ///
    /// Takes the first ranked worker that isn't ejected, has room within its concurrency limit, and may run
    /// the call. A first pass takes only workers below their spreadLimit, so that the tries between two
    /// rankings spread over the workers; the second pass lifts that. A worker on probation (isOnProbation())
    /// gets one try at a time, and no non-idempotent calls until kNonIdempotentReturnDelay is over.
    std::optional<WorkerId> pickWorker(const Call &call) {
        if (isRankingStale) rankWorkers();
        // A call of less than average value may fill only a part of each worker's limit, so that it gives way
        // when workers are busy. With a probability of at least kLowValueLimitFraction it may fill all of the
        // limit. Thus calls of low value keep at least that fraction of the others' chances, however long an
        // overload lasts.
        const double usableFraction =
            randomFraction() < std::max(kLowValueLimitFraction, valuePerMs(call) / recentValuesPerMs.mean(1))
                ? 1
                : kLowValueLimitFraction;
        for (const bool isSecondPass : {false, true}) {
            for (const Worker *worker : rankedWorkers) {
                const WorkerId id = worker->entry.worker;
                const Timestamp ejectedUntil =
                    std::max(worker->ejectedUntil, worker->healthByRoute[call.route.value].ejectedUntil);
                if (now < ejectedUntil) continue;
                if (!isSecondPass && worker->triesInFlight >= worker->spreadLimit) continue;
                const bool isSameAgain =
                    call.triesSent > 0 && call.lastWorker == id && rankedWorkers.size() > 1;
                const bool isProbation = isOnProbation(*worker, call.route);
                if (isSameAgain ||
                    (isProbation && isNonIdempotent(call) &&
                     now < ejectedUntil + kNonIdempotentReturnDelay) ||
                    !isInDedupScope(call, *worker))
                    continue;
                // A limit below one is kept by a pause after each try, since one try of each gateway at all
                // times would be too many. The pause is such that the average number of tries in flight
                // equals the limit. 1e-3 prevents a division by zero.
                const double limit =
                    std::min(isProbation ? 1 : ownConcurrencyLimit(*worker), warmUpLimit(*worker)) *
                    usableFraction;
                const double pauseMs = (1 / std::max(1e-3, limit) - 1) * usualLatencyMs;
                const bool hasPaused =
                    worker->lastReplyAt == Timestamp{} || toMs(now - worker->lastReplyAt) >= pauseMs;
                if (worker->triesInFlight < limit && hasPaused) return id;
            }
        }
        return std::nullopt;
    }

    /// Rebuilds readyWorkers after the list of workers changed: workers of this gateway's zone first, within
    /// a zone by a hash of gateway and worker. Thus each gateway has an order of its own. It uses the first
    /// workers of that order, about as many as it sends tries a second (see wantedWorkerCount()), so that it
    /// gets frequent results of each of them. Together all gateways use the whole fleet.
    void rebuildWorkerOrder() {
        readyWorkers.clear();
        for (auto &[id, worker] : workers)
            if (worker.entry.state == WorkerState::ready) readyWorkers.push_back(&worker);
        const auto position = [this](const Worker *worker) {
            const std::uint64_t hash =
                mix64(mix64(settings.gatewayIndex.value + 1) ^ worker->entry.worker.value);
            return std::pair(worker->entry.zone != settings.zone, hash);
        };
        std::ranges::stable_sort(readyWorkers, {}, position);
        rankWorkers();
    }

    /// Number of healthy warm workers that this gateway should use: as many as it sends tries a second, but
    /// at least kMinUsedWorkerCount. Until gaps between tries are measured, one try a second is assumed. 1e-3
    /// prevents a division by zero.
    double wantedWorkerCount() const {
        return std::max(kMinUsedWorkerCount, 1000 / std::max(1e-3, recentSendGapsMs.mean(1000)));
    }

    /// Estimated number of gateways that use the same warm worker. When most of the fleet turns cold, each of
    /// the remaining workers is used by more gateways at once. Concurrency limits are therefore kept for all
    /// gateways together and divided by this number.
    double gatewaysPerWorker() const {
        return settings.gatewayCount *
               std::min(1.0, wantedWorkerCount() / std::max<double>(1, warmWorkerCount));
    }

    /// This gateway's part of a warm worker's concurrency limit. May be below one.
    double ownConcurrencyLimit(const Worker &worker) const {
        return worker.concurrencyLimit / gatewaysPerWorker();
    }

    /// Chooses the workers in use and ranks them by their expected latency. Updates all that depends on it:
    /// the number of warm workers, the spread limits, isFailureCommon and the usual latencies.
    void rankWorkers() {
        rankedWorkers.clear();
        std::size_t healthyCount = 0;
        warmWorkerCount =
            std::ranges::count_if(readyWorkers, [this](const Worker *worker) { return !isCold(*worker); });
        const double wantedCount = wantedWorkerCount();
        for (Worker *worker : readyWorkers) {
            // Cold workers that this gateway may use now are taken in beyond the wanted number.
            const bool isUsableCold = isCold(*worker) && warmUpLimit(*worker) >= 1;
            if (static_cast<double>(healthyCount) >= wantedCount && !isUsableCold) continue;
            rankedWorkers.push_back(worker);
            healthyCount += now >= worker->ejectedUntil && !isCold(*worker) &&
                            std::ranges::none_of(worker->healthByRoute, isFailing);
            // Bounded, so that a few extreme latencies don't decide the rank alone.
            const double slowness = std::clamp(worker->relativeLatencies.mean(1), 0.25, 4.0);
            worker->rankKey = slowness * (1 + worker->triesInFlight) +
                              (worker->entry.zone == settings.zone ? 0 : kOtherZonePenaltyFraction);
            worker->spreadLimit = worker->triesInFlight + 1;
        }
        for (std::size_t index = 0; index < routes.size(); ++index) {
            const auto fails = [index](const Worker *worker) {
                return isFailing(worker->healthByRoute[index]);
            };
            // More than three quarters of the workers in use.
            routes[index].isFailureCommon =
                4 * std::ranges::count_if(rankedWorkers, fails) > 3 * std::ssize(rankedWorkers);
        }
        std::ranges::stable_sort(rankedWorkers, {}, &Worker::rankKey);
        usualServiceTimeMs = 0;
        for (const RouteState &route : routes)
            usualServiceTimeMs +=
                route.serviceTimesMs.mean(kSlowLatencyFraction * toMs(route.latencyTarget)) / routes.size();
        usualLatencyMs = recentLatenciesMs.mean(usualServiceTimeMs);
        isRankingStale = false;
    }

    /// Adapts a worker's concurrency limit to the latency of an answer (additive increase, multiplicative
    /// decrease). A slow answer reduces it by 30%, at most once within the time that counts as slow. A fast
    /// one raises it if this gateway uses at least 70% of its part, by an amount that adds about one try to
    /// that part once as many answers have arrived as it allows tries.
    void adjustConcurrencyLimit(Worker &worker, double latencyMs, double targetMs) {
        if (latencyMs > kSlowLatencyFraction * targetMs) {
            if (toMs(now - worker.limitReducedAt) > kSlowLatencyFraction * targetMs) {
                worker.concurrencyLimit = std::max(1.0, worker.concurrencyLimit * 0.7);
                worker.limitReducedAt = now;
            }
        } else if (latencyMs < kFastLatencyFraction * targetMs &&
                   worker.triesInFlight >= 0.7 * ownConcurrencyLimit(worker)) {
            worker.concurrencyLimit +=
                std::min(kMaxLimitIncrease, gatewaysPerWorker() / ownConcurrencyLimit(worker));
        }
    }

    // ---- Outlier ejection ----

    static bool isFailing(const RouteHealth &health) {
        return health.failures.size() >= kMinHealthSampleCount && health.failures.mean(0) > kFailingFraction;
    }

    /// Whether a worker fails on a route on which most others don't. Such a worker is ejected after each
    /// failure. When the ejection is over, it gets one try at a time until enough of them are answered, like
    /// a half-open circuit breaker.
    bool isOnProbation(const Worker &worker, RouteId route) const {
        return !routes[route.value].isFailureCommon && isFailing(worker.healthByRoute[route.value]);
    }

    /// Updates a worker's health, concurrency limit and latencies from the outcome of a try, and ejects the
    /// worker if needed.
    void recordOutcome(Worker &worker, const TryEnded &ended) {
        const auto found = calls.find(ended.call);
        if (found == calls.end()) return;
        const RouteId routeId = found->second.route;
        RouteState &route = routes[routeId.value];
        RouteHealth &health = worker.healthByRoute[routeId.value];
        const bool isConnectionFailure =
            ended.outcome == Outcome::connectFailed || ended.outcome == Outcome::reset;
        if (ended.outcome == Outcome::answered) {
            health.failures.add(0);
            worker.connectionFailures = 0;
            worker.answeredTriesSentAtMs.add(toMs(found->second.sentAt));
            route.latenciesMs.add(toMs(ended.latency));
            recentLatenciesMs.add(toMs(ended.latency));
            route.serviceTimesMs.add(
                std::min(toMs(ended.latency), kSlowLatencyFraction * toMs(route.latencyTarget)));
            worker.relativeLatencies.add(toMs(ended.latency) / std::max(0.1, route.latenciesMs.mean(1)));
            adjustConcurrencyLimit(worker, toMs(ended.latency), toMs(route.latencyTarget));
        } else if (ended.outcome == Outcome::overloaded) {
            // The worker is at its limit with fewer tries than allowed, so the limit starts from the tries in
            // flight.
            worker.concurrencyLimit = std::max(
                1.0, 0.7 * std::min(worker.concurrencyLimit, worker.triesInFlight * gatewaysPerWorker()));
            worker.ejectedUntil = std::max(worker.ejectedUntil, now + kEjectionBase / 2);
        } else if (isConnectionFailure || ended.outcome == Outcome::errored ||
                   ended.outcome == Outcome::timedOut) {
            health.failures.add(1);
            if (isOnProbation(worker, routeId))
                health.ejectedUntil = now + kEjectionBase * std::llround(health.failures.sum());
            // A single reset may be the end of that connection only. A worker that is gone refuses
            // connections, or resets several in a row.
            worker.connectionFailures += isConnectionFailure;
            if (worker.connectionFailures > (ended.outcome == Outcome::connectFailed ? 0 : 1))
                worker.ejectedUntil =
                    now + kEjectionBase * std::min(worker.connectionFailures, 16);  // up to 4 s
        }
        // The pause that keeps a limit below one (see pickWorker()) starts at an overloaded reply too.
        // Otherwise all gateways would come back to the worker's full queue at once.
        const bool hasReply = ended.outcome == Outcome::answered || ended.outcome == Outcome::errored;
        if (hasReply || ended.outcome == Outcome::overloaded) worker.lastReplyAt = now;
    }

    /// Cancels tries that are probably lost: a connection can stop delivering while its worker still answers
    /// on others. A try is cancelled when the worker's last four answers were all to tries sent after it, and
    /// it has taken far too long for the size of its call (kOverdueLatencyFactor) or reached the latency
    /// target. A non-idempotent call can't be tried again, so it is given the whole time up to the target.
    void cancelOvertakenTries() {
        for (auto &[id, call] : calls) {
            const auto worker = workers.find(call.lastWorker);
            if (!settings.mayCancel || !call.hasTryInFlight || call.isTryCancelled || worker == workers.end())
                continue;
            const Duration target = routes[call.route.value].latencyTarget;
            const double overdueMs = kOverdueLatencyFactor * (1 + call.units) *
                                     routes[call.route.value].latenciesMs.mean(toMs(target));
            if (now - call.sentAt < (isNonIdempotent(call) ? target : std::min(target, fromMs(overdueMs))))
                continue;
            // Samples that were not added yet are 0, so all four answers are needed.
            call.isTryCancelled =
                std::ranges::min(worker->second.answeredTriesSentAtMs.samples) > toMs(call.sentAt);
            if (call.isTryCancelled)
                actions.push_back(CancelTry{id, {static_cast<std::uint8_t>(call.triesSent - 1)}});
        }
    }

    // ---- Slow start of cold workers ----

    /// Time since a worker's process started, or less. The system clock of this machine or of the worker may
    /// be wrong by an hour, so the age by their difference counts only as far as the starts of other workers
    /// confirm it: the latest of them lies in the past. For as long as this gateway has had the worker on its
    /// list it has run in any case.
    Duration minAge(const Worker &worker) const {
        const Duration byClock = now - worker.entry.startedAt;
        const Duration byStarts = minClockDifference + byClock;
        return std::max(now - worker.firstListedAt, std::min(byClock, byStarts));
    }

    bool isCold(const Worker &worker) const {
        return worker.entry.startedAt != Timestamp{} && minAge(worker) < settings.warmUp;
    }

    /// Number of tries that this gateway may have in flight at a worker, with regard to its warm-up. For a
    /// warm worker that is ownConcurrencyLimit().
    ///
    /// A cold worker crashes when too much work is sent to it within coldOverloadWindow. The work sent in a
    /// window is at most what the worker finishes in it, which its capacity bounds, plus the work in flight.
    /// So all gateways together may have (coldOverloadFactor - 1) * capacity * coldOverloadWindow of work in
    /// flight, where the worker is taken to have a single core. Where a gateway's even share of that is below
    /// one try, the gateways take turns by index. A turn lasts one coldOverloadWindow and gives half of the
    /// allowed tries, one to a gateway, because any period of that length can overlap two turns.
    double warmUpLimit(const Worker &worker) const {
        if (!isCold(worker)) return ownConcurrencyLimit(worker);
        const double warmUpFraction = std::max(0.0, toMs(minAge(worker)) / toMs(settings.warmUp));
        const double capacity =
            settings.coldCapacityFraction + (1 - settings.coldCapacityFraction) * warmUpFraction;
        const double allowedTries = (settings.coldOverloadFactor - 1) * capacity *
                                    toMs(settings.coldOverloadWindow) / usualServiceTimeMs;
        if (allowedTries >= settings.gatewayCount || settings.gatewayCount < kMinGatewayCountForTurns) {
            return std::max(1.0, std::floor(allowedTries / settings.gatewayCount));
        }
        const auto turn =
            static_cast<std::uint64_t>(now / std::max(Duration{1}, settings.coldOverloadWindow));
        const auto gatewaysPerTurn = static_cast<std::uint64_t>(std::max(1.0, allowedTries / 2));
        const auto position =
            settings.gatewayIndex.value + mix64(worker.entry.worker.value) + turn * gatewaysPerTurn;
        return position % settings.gatewayCount < gatewaysPerTurn ? 1 : 0;
    }

    // ---- Updates of the list of workers, the periodic tick, ignored events ----

    /// Updates the workers from discovery's list.
    void on(const WorkerListUpdated &update) {
        if (update.kind == WorkerListKind::failed) return;
        for (auto &[id, worker] : workers)
            if (update.kind != WorkerListKind::delta) worker.entry.state = WorkerState::gone;
        for (const WorkerEntry &entry : update.workers) {
            Worker &worker = workers[entry.worker];
            // A different start time means another process: nothing that was measured before applies to it.
            if (worker.entry.startedAt != entry.startedAt || worker.firstListedAt == Timestamp{})
                worker = {.triesInFlight = worker.triesInFlight, .firstListedAt = now};
            worker.entry = entry;
            if (entry.startedAt != Timestamp{})
                minClockDifference = std::max(minClockDifference, entry.startedAt - now);
            worker.healthByRoute.resize(routes.size());
        }
        std::erase_if(workers, [](const auto &idAndWorker) { return idAndWorker.second.isRemovable(); });
        rebuildWorkerOrder();
        for (auto &[id, worker] : workers)
            if (worker.relativeLatencies.size() == 0) worker.concurrencyLimit = kInitialConcurrencyLimit;
    }

    /// Does the periodic work of a tick.
    void on(const TimerFired &fired) {
        if (fired.token != kTickToken) return;
        actions.push_back(SetTimer{now + kTickInterval, kTickToken});
        isRankingStale = true;
        cancelOvertakenTries();
        expireWaitingCalls();
        if (!retryQueue.empty()) serveRetryQueue();
        // No call is held for longer than two counter timeouts, for whatever reason the counter's reply is
        // late.
        std::vector<CustomerId> overdue;
        for (const auto &[id, call] : calls)
            if (call.isHeld && !call.isAdmitted && now - call.receivedAt > 2 * settings.counterTimeout)
                overdue.push_back(call.customer);
        for (const CustomerId id : overdue) {
            decideHeldCalls(customers.at(id), false, 0);
            decideCallsAwaitingTotals(id, customers.at(id));
        }
        serveReportQueue();
        evictIdleCustomers();
    }

    /// Takes a limited number of customers from the front of the report queue and reports them by urgency, as
    /// far as the pace allows. The others are queued again, except those whose counts belong to windows that
    /// no estimate reads any more. Without these two bounds the queue, and the work of each tick, would grow
    /// for as long as the counter takes fewer requests than there are admitted calls.
    void serveReportQueue() {
        // Only refills the token bucket.
        tryTakeRequestTokens(0, 0);
        std::vector<std::pair<double, CustomerId>> candidates;
        for (std::size_t remaining = std::min(reportQueue.size(), kMaxQueueChecksPerTick); remaining > 0;
             --remaining) {
            const CustomerId id = reportQueue.front();
            reportQueue.pop_front();
            Customer &customer = customers.at(id);
            customer.isQueued = hasPendingReports(id, customer);
            if (customer.isQueued) candidates.emplace_back(-reportUrgency(id), id);
        }
        std::ranges::stable_sort(candidates, {}, [](const auto &candidate) { return candidate.first; });
        for (const auto &[negatedUrgency, id] : candidates) {
            Customer &customer = customers.at(id);
            // Without a token the customer is queued again. Otherwise isQueued must be false here, because
            // reportAllCounts() queues the customer itself if the tokens run out halfway. A customer must not
            // be queued twice, since it could be evicted while its second entry is still in the queue.
            customer.isQueued = !tryTakeRequestTokens(1, 0);
            customer.isQueued ? reportQueue.push_back(id)
                              : reportAllCounts(id, customer, ReportReason::queueTurn);
            if (!customer.heldCalls.empty()) enqueueReport(id, customer);
        }
    }

    /// Moves the customer's windows on to the present and returns whether it then has held calls or counts to
    /// report.
    bool hasPendingReports(CustomerId id, Customer &customer) {
        advanceQuota(id, customer);
        customer.openCounts.advanceTo(shiftedNow(id, kOpenCountEpoch) / kOpenCountEpoch);
        return !customer.heldCalls.empty() || customer.unitCounts.current.needsReport ||
               customer.unitCounts.previous.needsReport || customer.openCounts.current.needsReport ||
               customer.openCounts.previous.needsReport;
    }

    /// Removes customers that have made no call for two windows. Each tick examines about a hundredth of all
    /// customers.
    void evictIdleCustomers() {
        for (std::size_t remaining = 1 + customers.size() / 100; remaining > 0 && !customers.empty();
             --remaining) {
            const auto checked = nextCheckedCustomer();
            const Customer &customer = checked->second;
            const Duration unusedFor = now - customer.lastCallAt;
            const bool isInUse =
                customer.ownOpenTries > 0 || customer.isQueued || !customer.callsAwaitingTotals.empty();
            if (unusedFor > 2 * windowLength(planOf(customer.plan)) && isCeilingForgettable(customer) &&
                !isInUse)
                customers.erase(checked);
        }
    }

    /// Removes a customer to have room for another, though it made a call within the last two windows: of a
    /// few that are examined, the one whose last call is longest ago. Later calls of it are decided as those
    /// of an unknown customer. Returns false if none of them may be forgotten.
    bool evictCustomerForAnother() {
        auto longestUnused = customers.end();
        for (std::size_t remaining = std::min(kEvictionSampleCount, customers.size()); remaining > 0;
             --remaining) {
            const auto checked = nextCheckedCustomer();
            const bool isLongerUnused = longestUnused == customers.end() ||
                                        checked->second.lastCallAt < longestUnused->second.lastCallAt;
            if (isLongerUnused && isForgettable(checked->second)) longestUnused = checked;
        }
        if (longestUnused == customers.end()) return false;
        // All new entries start with an empty share from now on, be they customers that come back or not.
        if (!isCeilingForgettable(longestUnused->second)) ceilingsForgottenAt = now;
        customers.erase(longestUnused);
        return true;
    }

    /// Moves the position in the customers that are examined in turn, and returns it. There must be one.
    std::map<CustomerId, Customer>::iterator nextCheckedCustomer() {
        const auto next = customers.upper_bound(lastCheckedCustomer);
        const auto checked = next == customers.end() ? customers.begin() : next;
        lastCheckedCustomer = checked->first;
        return checked;
    }

    /// Whether a customer's share of its ceiling had time to fill since its last call. A new entry starts
    /// with a share that has filled since the gateway's start, so from then on both are equally full.
    bool isCeilingForgettable(const Customer &customer) const {
        const Plan &plan = planOf(customer.plan);
        const double fillMs = plan.ceilingRate > 0 ? plan.ceilingBurst / plan.ceilingRate * 1000 : 0;
        return now - customer.lastCallAt > fromMs(fillMs) || plan.ceilingRate <= 0;
    }

    /// Whether a customer may give way to another: the counter knows all that it used, none of its calls is
    /// being decided, and it has made a single call or none for the length of a window. Otherwise customers
    /// that never come back would displace those that do.
    bool isForgettable(const Customer &customer) const {
        const auto isReported = [](const CachedCount &count) {
            return !count.needsReport && !count.isRequested && count.unreported == 0;
        };
        const bool isAllReported =
            isReported(customer.unitCounts.current) && isReported(customer.unitCounts.previous) &&
            isReported(customer.openCounts.current) && isReported(customer.openCounts.previous);
        return isAllReported && customer.ownOpenTries == 0 && !customer.isQueued &&
               customer.heldCalls.empty() && customer.callsAwaitingTotals.empty() &&
               (!customer.hasReturned || now - customer.lastCallAt > windowLength(planOf(customer.plan)));
    }

    /// ProbeEnded and PeerMessageReceived: this engine sends neither probes nor messages to other gateways.
    void on(const auto &) {}
};

DecisionEngine::DecisionEngine(const EngineSettings &settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine &&) noexcept = default;
DecisionEngine &DecisionEngine::operator=(DecisionEngine &&) noexcept = default;

std::vector<Action> DecisionEngine::handle(Timestamp now, const Event &event) {
    return impl_->handle(now, event);
}

}  // namespace arrowstile
