/// \file
/// Metrics of a gateway's activity, shown by the command `INFO` and in the log.
#pragma once

#include <array>
#include <arrowstile/request_start.hpp>
#include <cstdint>
#include <string>

namespace arrowstile {

/// What a gateway has received, sent and answered since its start. The values only increase.
struct Metrics {
    std::uint64_t clientsAccepted = 0;
    std::uint64_t clientsRejected = 0;  ///< connections closed at once, at the limit on connections
    /// Connections closed to free sockets or memory for others, or because a client took too long to send a
    /// command or to close its side.
    std::uint64_t clientsEvicted = 0;
    std::uint64_t clientsStalled =
        0;                         ///< closed because they did not fetch their answers; not in clientsEvicted
    std::uint64_t readPauses = 0;  ///< times that reading from a client paused: answers take up its share
    std::uint64_t peakAnswerBytes = 0;        ///< the most that the answers to all clients took up at once
    std::uint64_t commandWaits = 0;           ///< long commands that had to wait for memory
    std::uint64_t commandsWithoutMemory = 0;  ///< incomplete commands refused for lack of memory
    std::uint64_t badCommands = 0;            ///< malformed, unknown or invalid commands

    std::uint64_t callsTaken = 0;        ///< API calls accepted, each of them owed a final answer
    std::uint64_t callsProxied = 0;      ///< final answers that came from a worker
    std::uint64_t callsRateLimited = 0;  ///< final answers; those for lack of memory are not in callsTaken
    std::uint64_t callsErrored = 0;      ///< final answers, with those given by a planned stop
    std::uint64_t answersNotHeld = 0;    ///< calls errored because no memory was left for a worker's answer
    std::uint64_t callsAbandoned = 0;    ///< calls whose client disconnected before the final answer

    // These have no line in toText() as long as they are 0.
    std::uint64_t stopCallsRefused = 0;  ///< calls refused by a planned stop; in callsRateLimited too
    std::uint64_t stopCallsErrored = 0;  ///< pending calls answered by a planned stop; in callsErrored too
    std::uint64_t stopConnectionsEnded = 0;  ///< connections that a planned stop has drained
    std::uint64_t stopConnectionsCut = 0;    ///< closed at its end though answers were not fetched

    // All metrics of tries include probes.
    std::uint64_t triesSent = 0;  ///< queued for a connection
    std::uint64_t triesAnswered = 0;
    std::uint64_t triesErrored = 0;
    std::uint64_t triesOverloaded = 0;  ///< rejected by the worker (Outcome::overloaded)
    std::uint64_t triesTimedOut = 0;
    std::uint64_t triesConnectFailed = 0;  ///< not delivered to the worker (Outcome::connectFailed)
    std::uint64_t triesReset = 0;
    std::uint64_t triesFailedLocally = 0;  ///< this machine could not connect (Outcome::localFailure)
    std::uint64_t triesCancelled = 0;      ///< cancelled by the gateway
    std::uint64_t triesNotSent = 0;        ///< not attempted (Outcome::notSent)
    /// Tries that were turned down when they could be written, or given up before a worker's machine had
    /// taken all of them, by StartRefusal. Those turned down are in triesNotSent too.
    std::array<std::uint64_t, kStartRefusalCount> startRefusals{};
    /// Connections to workers closed with a try on them, because the reply was invalid, unexpected or too
    /// long, or was the longest incomplete one when memory was short.
    std::uint64_t invalidReplies = 0;

    std::uint64_t workerConnections = 0;   ///< connections to workers that were started
    std::uint64_t countsSent = 0;          ///< requests to the counter
    std::uint64_t countsAnswered = 0;      ///< requests to the counter that returned a total
    std::uint64_t countsLost = 0;          ///< requests to the counter that ended in any other way
    std::uint64_t counterConnections = 0;  ///< connections to the counter that were started
    std::uint64_t lists = 0;               ///< valid lists of workers from discovery
    std::uint64_t listWaits = 0;           ///< times that calls began to wait because the list was in doubt
    std::uint64_t watches = 0;             ///< requests to discovery that wait for a change of the list
    std::uint64_t peerMessagesIn = 0;
    std::uint64_t peerMessagesOut = 0;
    std::uint64_t reloads = 0;  ///< start documents read again and put into effect

    /// Returns one line `name:value` for each metric, ended by CR LF; reasons that were never given have no
    /// line. The names are an interface for operators' tools, so they stay as they are even where a field is
    /// renamed.
    std::string toText() const;
};

}  // namespace arrowstile
