#include "resource_limits.hpp"

#include <algorithm>

namespace arrowstile {
namespace {

/// For the event loop, signals, the listener, discovery (its old and its new connection), peers, the start
/// document and the standard streams, with some to spare.
constexpr std::size_t kReservedSocketCount = 24;
constexpr std::size_t kMinSocketCount = 48;
constexpr std::size_t kMaxCounterConnectionCount = 31;  // the counter resets connections beyond 32

/// Memory of a customer in the decision engine, with what the containers and the allocator add.
constexpr std::size_t kCustomerBytes = 768;

/// Memory of an id in SentRequestIds, with what the containers and the allocator add.
constexpr std::size_t kSentRequestIdBytes = 96;

/// An answer of the counter is a few hundred bytes long.
constexpr std::size_t kCounterReceiveBufferBytes = 4 * 1024;

}  // namespace

ResourceLimits::ResourceLimits(unsigned maxSockets, unsigned maxMemoryMb) {
    const std::size_t usableSockets =
        std::max<std::size_t>(maxSockets, kMinSocketCount) - kReservedSocketCount;
    const std::size_t memoryBytes = std::max<std::size_t>(maxMemoryMb, 8) * 1024 * 1024;
    maxCounterConnections = std::clamp<std::size_t>(usableSockets / 12, 4, kMaxCounterConnectionCount);
    maxClientConnections = (usableSockets - maxCounterConnections) * 3 / 5;
    maxNonCallingClients = maxClientConnections / 3;
    // Clients may hold up to a third of the gateway's sockets open for calls. A quarter stays under that, so
    // that idle connections are closed before a client has to wait for one to end.
    maxCallingClients = std::min<std::size_t>(maxSockets / 4, maxClientConnections - maxNonCallingClients);
    maxWorkerConnections = usableSockets - maxCounterConnections - maxClientConnections;
    maxAnswerBytes = memoryBytes / 4;
    maxCallTextBytes = memoryBytes / 16;
    maxIncompleteCommandBytes = memoryBytes / 12;
    maxHeldInputBytes = memoryBytes / 24;
    maxIncompleteReplyBytes = memoryBytes / 16;
    maxCustomers = memoryBytes / 16 / kCustomerBytes;
    maxSentRequestIds = memoryBytes / 32 / kSentRequestIdBytes;
    clientReceiveBufferBytes = memoryBytes / 12 / maxClientConnections;
    workerReceiveBufferBytes = memoryBytes / 12 / maxWorkerConnections;
    counterReceiveBufferBytes = kCounterReceiveBufferBytes;
    discoveryReceiveBufferBytes = memoryBytes / 64;
    maxListBytes = memoryBytes / 16;
    maxReplyValueBytes = memoryBytes / 64;
}

}  // namespace arrowstile
