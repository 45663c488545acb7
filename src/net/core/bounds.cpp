#include "bounds.hpp"

#include <algorithm>

namespace arrowstile {
namespace {

// Loop, signals, listener, discovery old and new, peers, start document and standard streams, some to spare.
constexpr std::size_t ownSockets = 24, fewestSockets = 48;
constexpr std::size_t mostCounters = 31;  // the counter resets what is beyond 32

}  // namespace

Bounds::Bounds(unsigned sockets, unsigned memoryMb) {
    const std::size_t all = std::max<std::size_t>(sockets, fewestSockets) - ownSockets;
    const std::size_t memory = std::max<std::size_t>(memoryMb, 8) * 1024 * 1024;
    counters = std::clamp<std::size_t>(all / 12, 4, mostCounters);
    clients = (all - counters) * 3 / 5;
    strangers = clients / 3;
    callers = std::min<std::size_t>(sockets / 4, clients - strangers);  // clients may hold a third for calls
    workers = all - counters - clients;
    pool = memory / 10;
    longestValue = memory / 64;
    leftByOne = std::max(2 * longestValue, std::min<std::size_t>(pool / 2, 2 * 1024 * 1024));
}

}  // namespace arrowstile
