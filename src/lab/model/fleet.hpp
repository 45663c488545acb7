#pragma once

#include <arrowstile/decision_engine.hpp>
#include <string>

#include "counter.hpp"
#include "node.hpp"
#include "rules.hpp"
#include "starvation.hpp"

namespace arrowstile::lab {

enum class FaultKind : std::uint8_t {
    counterRefuses,
    counterSilent,
    counterSlow,
    counterEmpty,
    nodesCrash,
    nodesSilent,
    nodesSlow,
    nodesFail,
    nodesReplaced,
    gatewaysKilled,
    listsLate,
    connectsLate,
    answersSpoilt,
    trafficJump
};

struct Fault {
    FaultKind kind{};
    Timestamp at{};
    Duration length{};
    double part = 0;  ///< of nodes or gateways
    double size = 1;  ///< how many times slower, or more; the share that fails; milliseconds, of what is late
};

struct RouteTraffic {
    std::string name;
    double share = 1, workMs = 100;
};

struct PlanTraffic {
    std::string name;
    double share = 1;
    unsigned customers = 10;
    double mostUnits = 1;
    double skew = 0;  ///< the n-th customer asks 1 / n^skew as often as the first
};

/// All that a run needs, checked before it starts.
struct Scenario {
    std::string name;
    EngineSettings facts;  ///< as a gatekeeper would be told; its rank is set by the run
    NodeSpec node;
    unsigned nodes = 14;
    CounterSpec counter;
    Duration oneWay = std::chrono::milliseconds(1), listLate = std::chrono::milliseconds(500);
    std::vector<RouteTraffic> routes;
    std::vector<PlanTraffic> plans;
    double callsASecond = 200;
    unsigned set = 3, retries = 1;  ///< gateways of a customer; further tries of a client
    double uneven = 0;  ///< the n-th gateway of a customer's set gets 1 / n^uneven of what the first does
    Duration length = std::chrono::seconds(20);
    std::vector<Fault> faults;
    double leastShare = 0;  ///< of what could be served, for each route and plan; 0: not checked
};

struct Share {
    std::string name;
    double asked = 0, served = 0;  ///< billed value, of first tries; served: in time, by any try
};

struct Report {
    std::uint64_t calls = 0, firstTries = 0, served = 0, late = 0, refused = 0, errored = 0, unanswered = 0;
    std::uint64_t triesSent = 0, counterCalls = 0, counterTurnedAway = 0, events = 0;
    double unitsSent = 0,
           unitsBeyond = 0;  ///< of a limiter that sees everything: sent although its store was empty
    std::uint64_t refusedWithRoom = 0;
    double worstPush = 0;  ///< of a cold node, as a part of what would push it over
    std::vector<Share> routes, plans, spans;
    std::vector<double> latenciesMs;  ///< of calls served, from when the client sent them
    std::vector<std::string> broken;
    std::vector<Fared> fared;          ///< routes, then plans
    std::vector<std::string> starved;  ///< those that got less than the scenario's least share
    double ratio() const;
};

/// Plays a scenario in virtual time against the real decision module, one instance a gateway.
Report play(const Scenario &scenario, std::uint64_t seed);

}  // namespace arrowstile::lab
