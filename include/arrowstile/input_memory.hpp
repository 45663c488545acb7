/// \file
/// Decides how much input of clients is kept that can't be used yet. Without I/O.
#pragma once

#include <arrowstile/ids.hpp>
#include <cstddef>
#include <deque>
#include <set>
#include <vector>

namespace arrowstile {

/// Input that waits behind commands whose answers are still to come. Reading it shows whether a client has
/// left: the end of a connection lies behind it.
class HeldInputMemory {
public:
    /// `capacityBytes` is the memory for the held input of all clients together.
    explicit HeldInputMemory(std::size_t capacityBytes) : capacityBytes_(capacityBytes) {}

    /// What one connection holds has changed. A new connection starts from, and a closed one returns to, 0.
    void update(std::size_t beforeBytes, std::size_t afterBytes) { heldBytes_ += afterBytes - beforeBytes; }
    /// Whether more may be read on a connection that holds `ownBytes`: as long as that is no more than what
    /// is free ("dynamic threshold", see AnswerMemory).
    bool mayReadMore(std::size_t ownBytes) const;

private:
    std::size_t capacityBytes_;
    std::size_t heldBytes_ = 0;
};

/// Long commands that have come in part. Each one that is read on may get as long as a command may be, so
/// only as many are read at a time as there is memory for; the others wait in the order in which they began.
class CommandReservations {
public:
    /// `capacityBytes` is the memory for incomplete commands, `commandBytes` the longest command.
    CommandReservations(std::size_t capacityBytes, std::size_t commandBytes)
        : capacityBytes_(capacityBytes), commandBytes_(commandBytes) {}

    /// A command has turned out to be long. Returns whether it may be read on; otherwise it waits.
    bool reserve(ClientId client);
    /// A client's command is complete, or its connection is closed.
    void release(ClientId client);
    /// Bytes of incomplete commands without a reservation.
    void setUnreservedBytes(std::size_t bytes) { unreservedBytes_ = bytes; }
    /// Reserves memory for commands that wait, as far as there is some now. Returns their clients.
    std::vector<ClientId> admitWaiting();

    /// The clients whose commands are read on.
    const std::set<ClientId> &reserved() const { return reserved_; }
    bool isWaiting(ClientId client) const { return waiting_.contains(client); }

private:
    bool hasRoom() const;

    std::size_t capacityBytes_;
    std::size_t commandBytes_;
    std::size_t unreservedBytes_ = 0;
    std::set<ClientId> reserved_;
    std::set<ClientId> waiting_;
    std::deque<ClientId> waitingOrder_;  ///< the same clients in their order
};

/// An incomplete command with more bytes than this is long.
inline constexpr std::size_t kShortCommandBytes = 2 * 1024;
/// How long a long command may wait for memory before it is refused.
inline constexpr Duration kMaxReservationWait = std::chrono::milliseconds(700);

}  // namespace arrowstile
