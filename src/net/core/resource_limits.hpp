#pragma once

#include <cstddef>

namespace arrowstile {

/// What this gatekeeper may hold at once. All of it follows from the descriptors and the memory that the
/// start document states, so that the smallest machine is safe and the largest is used.
struct ResourceLimits {
    ResourceLimits(unsigned maxSockets, unsigned maxMemoryMb);

    std::size_t maxClientConnections,
        maxNonCallingClients;       ///< connections; of them those that never sent an API call
    std::size_t maxCallingClients;  ///< of them those that did, while some of these are idle
    std::size_t maxWorkerConnections, maxCounterConnections;  ///< connections
    std::size_t maxBufferedBytesPerKind;  ///< bytes: for bodies kept, answers not fetched, commands begun,
                                          ///< replies begun
    std::size_t maxReplyValueBytes;       ///< of a worker's reply
    std::size_t maxUnsentBytesPerClient;  ///< bytes that one client may leave with us
};

}  // namespace arrowstile
