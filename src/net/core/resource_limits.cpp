#include "resource_limits.hpp"

#include <algorithm>

namespace arrowstile {
namespace {

// Loop, signals, listener, discovery old and new, peers, start document and standard streams, some to spare.
constexpr std::size_t ownSockets = 24, fewestSockets = 48;
constexpr std::size_t mostCounters = 31;  // the counter resets what is beyond 32

}  // namespace

ResourceLimits::ResourceLimits(unsigned maxSockets, unsigned maxMemoryMb) {
    const std::size_t all = std::max<std::size_t>(maxSockets, fewestSockets) - ownSockets;
    const std::size_t memory = std::max<std::size_t>(maxMemoryMb, 8) * 1024 * 1024;
    maxCounterConnections = std::clamp<std::size_t>(all / 12, 4, mostCounters);
    maxClientConnections = (all - maxCounterConnections) * 3 / 5;
    maxNonCallingClients = maxClientConnections / 3;
    maxCallingClients = std::min<std::size_t>(
        maxSockets / 4, maxClientConnections - maxNonCallingClients);  // clients may hold a third for calls
    maxWorkerConnections = all - maxCounterConnections - maxClientConnections;
    maxBufferedBytesPerKind = memory / 10;
    maxReplyValueBytes = memory / 64;
    maxUnsentBytesPerClient =
        std::max(2 * maxReplyValueBytes, std::min<std::size_t>(maxBufferedBytesPerKind / 2, 2 * 1024 * 1024));
}

}  // namespace arrowstile
