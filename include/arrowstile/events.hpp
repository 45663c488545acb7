#pragma once

#include <arrowstile/ids.hpp>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace arrowstile {

enum class WorkerState : std::uint8_t { gone, ready, draining };
enum class ListNews : std::uint8_t { changes, failed, full, cached };

struct WorkerEntry {
    WorkerId worker;
    ZoneId zone;
    KindId kind;
    CellId cell;
    WorkerState state{};
    double size = 1;
    Span startedAt{};  ///< zero: long ago
};

struct WorkerListed {
    ListNews how{};
    std::uint64_t version = 0;
    std::vector<WorkerEntry> workers;
};

struct CallTaken {
    CallId call;
    RouteId route;
    PlanId plan;
    CustomerId customer;
    double units = 1;
    unsigned gateways = 1;  ///< how many gateways this customer's API calls may come through
    unsigned firstGateway = 0;
    Span left{};  ///< until the client stops waiting
    bool clientRepeat = false;
    bool write = false;
};

enum class Outcome : std::uint8_t {
    answered,
    errored,
    full,
    timedOut,
    connectFailed,
    reset,
    calledOff,
    notSent
};

struct TryFlowing {
    CallId call;
    TryNumber attempt;
    WorkerId worker;
    Span latency{};
};

struct TryEnded {
    CallId call;
    TryNumber attempt;
    WorkerId worker;
    Outcome outcome{};
    Span latency{};
    bool callClosed = false;
    std::optional<double> meteredShare;  ///< the customer's use of its rate in a past period, 1 = all
    std::optional<double> trueUnits;
    std::vector<double> load;  ///< in the order of SiteFacts::loadColumns, empty if none came
};

struct ClientGone {
    CallId call;
};

struct TimerFired {
    TimerToken token;
};

struct ProbeEnded {
    WorkerId worker;
    Outcome outcome{};
    Span latency{};
    std::vector<double> load;
};

struct PeerHeard {
    GatewayRank from;
    std::vector<std::byte> bytes;
};

struct CountAnswered {
    CountName name;
    Outcome outcome{};
    double total = 0;
    Span latency{};
};

using Event = std::variant<WorkerListed, CallTaken, TryFlowing, TryEnded, ClientGone, TimerFired, ProbeEnded,
                           PeerHeard, CountAnswered>;

}  // namespace arrowstile
