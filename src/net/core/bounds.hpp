#pragma once

#include <cstddef>

namespace arrowstile {

/// What this gatekeeper may hold at once. All of it follows from the descriptors and the memory that the
/// start document states, so that the smallest machine is safe and the largest is used.
struct Bounds {
    Bounds(unsigned sockets, unsigned memoryMb);

    std::size_t clients, strangers;  ///< connections; of them those that never sent an API call
    std::size_t callers;             ///< of them those that did, while some of these are idle
    std::size_t workers, counters;   ///< connections
    std::size_t pool;          ///< bytes: for bodies kept, answers not fetched, commands begun, replies begun
    std::size_t longestValue;  ///< of a worker's reply
    std::size_t leftByOne;     ///< bytes that one client may leave with us
};

}  // namespace arrowstile
