/// \file
/// The parts of WorkerConnections: one connection to a worker with its request, and the connections of one
/// worker. Used by its source files only.
#pragma once

#include <optional>

#include "worker_connections.hpp"

namespace arrowstile {

/// A try or a probe that is queued, or whose reply is awaited.
struct WorkerConnections::InFlightRequest {
    WorkerId worker;
    CallId call;          ///< of a try
    TryNumber tryNumber;  ///< of a try
    bool isProbe = false;
    Timestamp queuedAt{};
    Timestamp deadline{};
    std::optional<RepeatTerms> repeat{};     ///< of a try, see SendTry
    std::optional<Timestamp> latestStart{};  ///< of a try, see SendTry
    bool isWritten = false;                  ///< at least to the connection's output buffer
    TimerQueue::Key timeoutTimer{};
};

/// A worker and the connections to it.
struct WorkerConnections::ConnectionPool {
    bool isReady() const { return entry.state == WorkerState::ready; }
    bool isGone() const { return entry.state == WorkerState::gone; }

    Address address;
    WorkerEntry entry{.state = WorkerState::draining};  ///< as it is listed
    bool hasValidAddress = false;
    unsigned generation = 0;  ///< increased when the worker's process or address changes, or it comes back
    std::vector<std::unique_ptr<Connection>> connections;  ///< the most recently used one is last
};

/// A connection to a worker, with the try or probe on it that is not over.
struct WorkerConnections::Connection final : TcpConnection::Handler {
    Connection(WorkerConnections &connections, WorkerId to, unsigned ofGeneration)
        : owner(connections), worker(to), generation(ofGeneration) {}

    ~Connection() {
        owner.incompleteReplyBytes_ -= incompleteReplyBytes;
        owner.context_.timers.cancel(connectTimer);
        if (inFlight) owner.context_.timers.cancel(inFlight->timeoutTimer);
        owner.unflushedConnections_.erase(this);
        owner.untakenConnections_.erase(this);
        --owner.connectionCount_;
    }

    void onOpen() override;
    std::size_t onData(std::string_view bytes) override;
    void onClosed(CloseReason reason) override;
    bool handleReply(const resp::Reply &reply);
    std::size_t closeOnInvalidReply();
    /// Whether the worker's machine has confirmed all that was written.
    bool isTaken() const { return tcp->unsentBytes() == 0 && tcp->unconfirmedBytes() == 0; }

    WorkerConnections &owner;
    const WorkerId worker;
    const unsigned generation;  ///< of the pool when the connection was started
    TcpConnection::Ptr tcp;
    std::optional<InFlightRequest> inFlight;
    std::uint64_t writtenBytes = 0;        ///< of all requests so far
    std::size_t incompleteReplyBytes = 0;  ///< buffered input that is not a whole reply yet
    Timestamp idleSince{};                 ///< when it opened or the last awaited reply was received
    TimerQueue::Key connectTimer{};
    bool isOpen = false;
    bool hasReceivedSinceIdle = true;  ///< true also until the first reply
};

}  // namespace arrowstile
