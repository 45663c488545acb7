#pragma once

#include <cstdint>
#include <string>

namespace arrowstile {

/// What a gatekeeper has taken in, sent and answered since its start.
struct Metrics {
    std::uint64_t clientsAccepted = 0, clientsTurnedAway = 0, clientsLetGo = 0, badCommands = 0;
    std::uint64_t callsTaken = 0, callsProxied = 0, callsRateLimited = 0, callsErrored = 0,
                  callsAbandoned = 0;
    std::uint64_t triesSent = 0, triesAnswered = 0, triesErrored = 0, triesFull = 0, triesTimedOut = 0;
    std::uint64_t triesUnconnected = 0, triesReset = 0, triesCalledOff = 0, triesNotSent = 0,
                  repliesSpoilt = 0;
    std::uint64_t workerConnections = 0, countsSent = 0, countsAnswered = 0, countsLost = 0;
    std::uint64_t counterConnections = 0, lists = 0, watches = 0, peerMessagesIn = 0, peerMessagesOut = 0;
    std::uint64_t reloads = 0;

    /// One "name:value" a line.
    std::string toText() const;
};

}  // namespace arrowstile
