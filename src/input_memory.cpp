/// \file
/// See arrowstile/input_memory.hpp.
#include <algorithm>
#include <arrowstile/input_memory.hpp>

namespace arrowstile {
namespace {

/// So many long commands are read at a time at least, or short ones could keep all long ones out.
constexpr std::size_t kMinReservationCount = 4;

}  // namespace

bool HeldInputMemory::mayReadMore(std::size_t ownBytes) const {
    return heldBytes_ < capacityBytes_ && ownBytes <= capacityBytes_ - heldBytes_;
}

bool CommandReservations::hasRoom() const {
    if (reserved_.size() < kMinReservationCount) return true;
    return (reserved_.size() + 1) * commandBytes_ + unreservedBytes_ <= capacityBytes_;
}

bool CommandReservations::reserve(ClientId client) {
    if (reserved_.contains(client)) return true;
    if (waiting_.empty() && hasRoom()) {
        reserved_.insert(client);
        return true;
    }
    if (waiting_.insert(client).second) waitingOrder_.push_back(client);
    return false;
}

void CommandReservations::release(ClientId client) {
    reserved_.erase(client);
    if (waiting_.erase(client) > 0) std::erase(waitingOrder_, client);
}

std::vector<ClientId> CommandReservations::admitWaiting() {
    std::vector<ClientId> admitted;
    while (!waitingOrder_.empty() && hasRoom()) {
        admitted.push_back(waitingOrder_.front());
        reserved_.insert(waitingOrder_.front());
        waiting_.erase(waitingOrder_.front());
        waitingOrder_.pop_front();
    }
    return admitted;
}

}  // namespace arrowstile
