#pragma once

#include <arrowstile/ids.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arrowstile {

struct SendTry {
    CallId call;
    WorkerId worker;
    Span notPast{};  ///< clock time at which this upstream try is given up
};

/// Final answer: rate-limited, which tells the client that a new try does no harm.
struct RateLimit {
    CallId call;
    std::optional<Span> retryAfter;
};

/// Final answer: errored, which promises nothing.
struct GiveError {
    CallId call;
};

struct CallOffTry {
    CallId call;
    TryNumber attempt;
};

struct SetTimer {
    Span due{};
    TimerToken token;
};

struct ProbeWorker {
    WorkerId worker;
};

struct CloseIdle {
    WorkerId worker;
};

struct TellPeers {
    std::optional<GatewayRank> peer;  ///< none: every peer
    std::vector<std::byte> bytes;
};

struct AddCount {
    CountName name;
    double amount = 0;
    Span keep{};  ///< how long the name lives, if this call makes it
    Span wait{};  ///< for its answer, where the counter leaves that to its callers
};

struct FollowList {
    bool on = true;
};

struct FetchList {};

struct Note {
    std::string text;
};

using Action = std::variant<SendTry, RateLimit, GiveError, CallOffTry, SetTimer, ProbeWorker, CloseIdle,
                            TellPeers, AddCount, FollowList, FetchList, Note>;

}  // namespace arrowstile
