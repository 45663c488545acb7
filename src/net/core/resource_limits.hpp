/// \file
/// Limits on connections and buffered bytes of one gateway.
#pragma once

#include <cstddef>

namespace arrowstile {

/// Limits that keep one gateway within the sockets and the memory of its machine. They are all derived from
/// the start document's `limits`, so that a small machine isn't overloaded and a large one is fully used.
struct ResourceLimits {
    /// Values of `maxSockets` under 48 count as 48, values of `maxMemoryMb` (MiB) under 8 as 8.
    ResourceLimits(unsigned maxSockets, unsigned maxMemoryMb);

    std::size_t maxClientConnections;
    /// Of the client connections, those that have never sent an API call.
    std::size_t maxNonCallingClients;
    /// Of the client connections, those that have sent an API call. Above this number the one idle longest is
    /// closed; as long as none is idle, there may be more.
    std::size_t maxCallingClients;
    std::size_t maxWorkerConnections;
    std::size_t maxCounterConnections;
    // Total bytes over all connections.

    /// Answers that wait for an earlier one or for their clients, with the calls in progress.
    std::size_t maxAnswerBytes;
    std::size_t maxCallTextBytes;           ///< texts of pending calls; the system may hold them once more
    std::size_t maxIncompleteCommandBytes;  ///< commands of clients that have come in part
    std::size_t maxHeldInputBytes;          ///< commands of clients that can't be taken yet
    std::size_t maxIncompleteReplyBytes;    ///< replies of workers that have come in part

    // Memory that the system may take up for unread input, for each connection.

    std::size_t clientReceiveBufferBytes;
    std::size_t workerReceiveBufferBytes;
    std::size_t counterReceiveBufferBytes;
    std::size_t discoveryReceiveBufferBytes;

    std::size_t maxCustomers;        ///< with limits, whose use the engine remembers
    std::size_t maxSentRequestIds;   ///< that are kept of calls which must not run again
    std::size_t maxListBytes;        ///< longest list of workers, as text
    std::size_t maxReplyValueBytes;  ///< longest value in a worker's reply
};

}  // namespace arrowstile
