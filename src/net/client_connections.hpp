/// \file
/// The connections from clients: accepting them, reading their commands and writing the answers.
#pragma once

#include <arrowstile/answer_memory.hpp>
#include <arrowstile/input_memory.hpp>
#include <arrowstile/planned_stop.hpp>
#include <arrowstile/request_start.hpp>
#include <arrowstile/sent_request_ids.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "core/pending_calls.hpp"
#include "server_context.hpp"
#include "tcp_connection.hpp"
#include "tcp_listener.hpp"

namespace arrowstile {

/// Accepts clients, turns their API calls into events and sends each client its answers in the order of its
/// commands. Limits how much memory and how many sockets clients can take up.
class ClientConnections {
public:
    ClientConnections(ServerContext &context, PendingCallTable &pendingCalls, SentRequestIds &sentRequestIds);
    ~ClientConnections();

    /// Starts to accept clients. Throws ConfigError if the address can't be listened on.
    void listen(const Address &address);
    /// From now on PING is answered with PONG; before that, the gateway reports that it is loading.
    void setReady() { isReady_ = true; }
    /// Queues the final answer to a call, which has been removed from the table of pending calls.
    void sendAnswer(const PendingCall &call, std::string text);
    /// The same for the value that a worker gave. If there is no memory for it, the call is answered as
    /// errored.
    void sendProxiedAnswer(const PendingCall &call, std::string_view value);
    /// Asks the system whether a client is still there. If it has left, also if that is behind input that was
    /// not read yet, closes its connection and reports its calls as abandoned. Not to be called while input
    /// is being handled.
    ClientPresence checkPresence(ClientId id);
    /// Sends all answers that are due and enforces the limits on memory.
    void flush();
    /// Begins a planned stop: for a while new clients are still accepted and served, then each connection is
    /// drained (see ConnectionDrain). Repeated calls have no effect.
    void beginPlannedStop();
    /// Writes to the log how a planned stop went that is complete.
    void logEndOfStop() const;
    /// Whether a planned stop is complete.
    bool isStopped() const { return stop_ && !listener_ && connections_.empty(); }

private:
    struct Connection;
    /// Which connections may be closed to free a socket for another.
    enum class EvictionScope { all, nonCalling, calling };
    /// A connection that was accepted by the system but for which there is no room yet.
    struct DeferredClient {
        int descriptor;
        Timestamp inputSince;  ///< the earliest time at which its input may have arrived
    };

    void accept(DeferredClient client);
    void closeListener();
    bool evictLongestIdle(EvictionScope scope);
    void closeOverdueConnections();
    void endOldestIncompleteCommand();
    void refuseIncompleteCommand(Connection &connection);
    void admitWaitingCommands();
    std::size_t unreservedCommandBytes() const;
    void flushConnection(Connection &connection);
    void updateReadPauses();
    void checkUnreadConnections(Timestamp now);
    void handleCommand(Connection &connection, const resp::Command &command);
    bool mayHaveRunForDepartedClient(const std::string &requestId);
    void closeConnection(ClientId id);
    void continuePlannedStop();
    void stopAccepting(Timestamp now);
    void continueDrain(Connection &connection, Timestamp now);
    void answerPendingCalls(Timestamp now);
    void endRemainingConnections();
    void logRemainingConnections(Timestamp now);
    Duration longestClientTimeout() const;

    ServerContext &context_;
    PendingCallTable &pendingCalls_;
    SentRequestIds &sentRequestIds_;
    std::unique_ptr<TcpListener> listener_;
    std::optional<DeferredClient> deferredClient_;
    AnswerMemory answerMemory_;
    HeldInputMemory heldInput_;
    CommandReservations commandReservations_;
    std::size_t incompleteCommandBytes_ = 0;  ///< buffered, over all connections
    std::size_t nonCallingCount_ = 0;         ///< connections that have not sent an API call
    std::set<ClientId> pausedConnections_;    ///< whose commands are not read
    std::map<ClientId, std::unique_ptr<Connection>> connections_;
    ClientId lastResumedClient_;     ///< position of updateReadPauses()
    std::size_t heldPartsLeft_ = 0;  ///< parts of held input that may be handled in this iteration
    std::set<ClientId> unflushedConnections_;
    std::uint64_t lastClientId_ = 0;
    bool isReady_ = false;
    std::optional<PlannedStop> stop_;             ///< set when a planned stop has begun
    std::optional<Timestamp> pendingAnsweredAt_;  ///< when the stop has answered pending calls last
    Timestamp nextStopLogAt_{};
    Timestamp lastAcceptedAt_{};
    Timestamp unreadCheckedAt_{};  ///< when checkUnreadConnections() last looked
};

}  // namespace arrowstile
