#pragma once

#include <arrowstile/ids.hpp>
#include <vector>

namespace arrowstile {

enum class Effect : std::uint8_t { idempotent, tokened, nonIdempotent };
enum class RepeatScope : std::uint8_t { all, zone, cell };
enum class ReportWay : std::uint8_t { none, answers, probes };
/// What a figure of a load report says of the worker that sent it.
enum class LoadFigure : std::uint8_t {
    inHand,
    waiting,
    busyShare,
    serviceMs,
    perSecond,
    failuresPerSecond,
    other
};
enum class ListWay : std::uint8_t { pushed, asked };

struct Route {
    Effect effect{};
    RepeatScope repeatScope{};
    Span repeatWindow{};
    Span latencyTarget{};
    Span clientTimeout{};
    double billedValue = 1;
    double lateShare = 0;
    bool streamed = false;
};

struct Plan {
    double rate = 0;  ///< units a second; 0: no quota on the rate
    double burst = 0;
    unsigned openCap = 0;  ///< upstream tries out at once; 0: no cap
    double price = 1;
    double extraWorth = 0;
    double overrunCost = 0;
    double ceilingRate = 0;  ///< 0: no ceiling
    double ceilingBurst = 0;
    double ceilingSlack = 0;
};

/// What a gatekeeper is told when it starts; nothing here is learned and nothing here is tuned.
struct SiteFacts {
    unsigned gateways = 1;
    GatewayRank rank;
    ZoneId zone;
    std::vector<Route> routes;
    std::vector<Plan> plans;

    bool mayCount = false;
    bool unitsSettled = false;
    double mostUnits = 1;
    Span countTimeout{};
    double countPrice = 0;
    Span meterPeriod{};
    double peerMessagesPerSecond = 0;

    bool mayCancel = false;
    bool mayProbe = false;
    bool mayTellPeers = false;
    bool mayDuplicate = false;
    bool mayAdvise = false;
    unsigned mostTries = 1;
    Span longestAdvice{};
    Span connectTimeout{};

    ListWay listWay{};
    ReportWay reportWay{};
    std::vector<LoadFigure> loadColumns;

    Span answerSlack{};
    Span drainGrace{};
    Span askWithin{};
    double coldShare = 1;
    Span warmUp{};
    double fallMultiple = 1;
    Span fallSpan{};
    Span tick{};
};

}  // namespace arrowstile
