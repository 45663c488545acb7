/// \file
/// Simulates a fleet of gateways with their clients, nodes, counter and discovery in virtual time. Each
/// gateway is a real DecisionEngine; everything around it is a model.
#pragma once

#include <arrowstile/decision_engine.hpp>
#include <string>

#include "counter.hpp"
#include "node.hpp"
#include "rules.hpp"
#include "starvation.hpp"

namespace arrowstile::lab {

/// Kinds of injected faults, named as in scenario files (Fault::magnitude is called `size` there). The kinds
/// from nodesCrash to connectsLate concern a fraction of the nodes or gateways; the order of the values
/// matters to readScenario. A fault of a fraction always concerns the first nodes or gateways.
enum class FaultKind : std::uint8_t {
    counterRefuses,  ///< the counter rejects all requests
    counterSilent,   ///< the counter doesn't reply
    counterSlow,     ///< the counter's service time grows; magnitude: factor
    counterEmpty,    ///< the counter loses all counts, once at the start of the fault
    nodesCrash,      ///< nodes crash; as many cold nodes start at the end of the fault
    nodesSilent,     ///< nodes accept connections, but don't reply
    nodesSlow,       ///< jobs take longer; magnitude: factor
    nodesFail,       ///< jobs end as errored after they ran; magnitude: fraction of the jobs
    nodesReplaced,   ///< nodes drain and cold ones start, one after the other over the fault's duration
    gatewaysKilled,  ///< gateways are killed, and start again at the end of the fault
    listsLate,       ///< changes of nodes reach gateways late; magnitude: additional delay, ms
    connectsLate,    ///< connecting to nodes takes time, uniform from 0; magnitude: its upper bound, ms
    answersSpoilt,   ///< answers of nodes arrive as errors; magnitude: fraction of the answers
    trafficJump      ///< more calls arrive; magnitude: factor
};

/// One injected fault.
struct Fault {
    FaultKind kind{};
    Timestamp startsAt{};  ///< since the traffic started
    Duration duration{};
    double fraction = 0;   ///< of the nodes or gateways, for kinds that concern some of them
    double magnitude = 1;  ///< meaning and unit: see FaultKind
};

/// Traffic of one route.
struct RouteTraffic {
    std::string name;
    double weight = 1;        ///< share of the calls, relative to the weights of the other routes
    double meanWorkMs = 100;  ///< mean work of a call, see Job::workMs; exponentially distributed
};

/// Traffic of one plan.
struct PlanTraffic {
    std::string name;
    double weight = 1;  ///< share of the calls, relative to the weights of the other plans
    unsigned customerCount = 10;
    double maxUnits = 1;  ///< the cost of a call is a whole number from 1 to this, uniformly distributed
    double skew = 0;      ///< the n-th customer sends about 1 / n^skew times as many calls as the first
};

/// Everything that a run needs. readScenario checks the values; simulate does not.
struct Scenario {
    std::string name;
    EngineSettings settings;  ///< of every gateway; the run sets gatewayIndex
    NodeSpec node;
    unsigned nodeCount = 14;
    CounterSpec counter;
    Duration oneWayLatency = std::chrono::milliseconds(1);  ///< of every network connection
    Duration listDelay = std::chrono::milliseconds(500);    ///< until a change of a node reaches the gateways
    std::vector<RouteTraffic> routes;                       ///< in the order of settings.routes
    std::vector<PlanTraffic> plans;                         ///< in the order of settings.plans
    double callsPerSecond = 200;                            ///< without clients' retries
    unsigned gatewaySubsetSize = 3;  ///< gateways over which a customer's calls are spread
    unsigned maxRetries = 1;         ///< of a client, after the first call
    /// The n-th gateway of a customer's subset gets about 1 / n^skew times as many of its calls as the first.
    double gatewaySubsetSkew = 0;
    Duration duration = std::chrono::seconds(20);  ///< of the traffic
    std::vector<Fault> faults;
    /// Each route and plan must be served this fraction of what is achievable (see GroupService). 0: not
    /// checked.
    double minServedFraction = 0;
};

/// Billed value requested and served, for one route, plan or time interval.
struct ValueTotals {
    std::string name;
    double requested = 0;  ///< of clients' requests within quotas; each counts once, whatever its retries
    double served = 0;     ///< of those requests that were answered within the latency target, by any call
};

/// Results of a run.
struct Report {
    std::uint64_t calls = 0;       ///< including clients' retries
    std::uint64_t firstCalls = 0;  ///< without clients' retries
    std::uint64_t served = 0;      ///< calls proxied within the latency target, since the client's first call
    std::uint64_t late = 0;        ///< calls proxied after it
    std::uint64_t rateLimited = 0;
    std::uint64_t errored = 0;
    std::uint64_t unanswered = 0;  ///< calls lost with a killed gateway
    std::uint64_t triesSent = 0;
    std::uint64_t counterRequests = 0;
    std::uint64_t counterRejected = 0;
    std::uint64_t events = 0;  ///< actions run by the event queue
    double unitsSent = 0;      ///< cost of the calls sent to nodes
    /// Part of unitsSent that a reference limiter, which counts the calls of all gateways, would have
    /// rate-limited.
    double unitsBeyondQuota = 0;
    /// Rate-limited calls that this reference limiter would have admitted.
    std::uint64_t rateLimitedWithinQuota = 0;
    double maxColdLoadFraction = 0;  ///< maximum over all nodes, see Node::maxColdLoadFraction
    std::vector<ValueTotals> routes;
    std::vector<ValueTotals> plans;
    std::vector<ValueTotals> intervals;  ///< of the traffic, 5 s each; a request counts where it started
    std::vector<double> latenciesMs;     ///< of served calls, since the client's first call; sorted
    std::vector<std::string> ruleViolations;
    std::vector<GroupService> groups;        ///< routes, then plans
    std::vector<std::string> starvedGroups;  ///< those below Scenario::minServedFraction
    /// Billed value served as a fraction of that requested.
    double serviceRatio() const;
};

/// Simulates a scenario. Equal scenarios and seeds give equal reports.
Report simulate(const Scenario &scenario, std::uint64_t seed);

}  // namespace arrowstile::lab
