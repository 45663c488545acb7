/// \file
/// The connections to workers, and the upstream tries and probes that are sent over them.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "call_directory.hpp"
#include "core/discovery_update.hpp"
#include "core/worker_reply.hpp"
#include "server_context.hpp"
#include "tcp_connection.hpp"

namespace arrowstile {

/// Keeps a pool of connections to each worker. Each try and each probe ends in exactly one TryEnded or
/// ProbeEnded event, whatever happens to its connection.
///
/// A connection carries one request at a time. Replies name no request, and a worker may leave a request
/// without a reply, so the reply to a request behind it would be taken for the reply to that one.
class WorkerConnections {
public:
    /// Both must outlive the connections.
    WorkerConnections(ServerContext &context, CallDirectory &calls);
    ~WorkerConnections();

    /// Applies a change of discovery's list. Closes the idle connections to workers that are no longer ready,
    /// or whose process or address has changed.
    void updateWorkers(const DiscoveryUpdate &update);
    /// Queues a try for the worker that `action` names. It ends as notSent if the worker is unknown or no
    /// connection is available, or if refusalToStart() forbids it when its connection is open.
    void sendTry(const SendTry &action, TryNumber tryNumber);
    /// Gives up a try: closes its connection and reports the try as cancelled. Does nothing if it has ended.
    void cancelTry(CallId call, TryNumber tryNumber);
    /// Asks a worker for its load, if the settings say that workers report it in their replies to probes, or
    /// else whether it replies.
    void sendProbe(WorkerId worker);
    /// Closes all connections to a worker on which no reply is awaited.
    void closeIdleConnections(WorkerId worker);
    /// If `mayWrite`, writes the queued requests whose connections are open. A request ends as notSent
    /// instead if refusalToStart() forbids it. Before that, closes connections if incomplete replies take up
    /// too much memory, and those whose worker's machine has not taken a request that refusalToContinue()
    /// forbids.
    void flush(bool mayWrite);
    /// Whether flush() may have something to write.
    bool hasQueuedRequests() const { return !unflushedConnections_.empty(); }
    /// Reports a try as notSent.
    void reportNotSent(const SendTry &action, TryNumber tryNumber);

private:
    struct Connection;
    struct InFlightRequest;
    struct ConnectionPool;

    void updatePool(ConnectionPool &pool, const DiscoveredWorker &listed);
    void queueRequest(ConnectionPool &pool, const InFlightRequest &request);
    Connection *connectionFor(ConnectionPool &pool, WorkerId worker, Outcome &failure);
    bool closeLongestIdleConnection();
    void scheduleTimeout(Connection &connection);
    void handleTimeout(Connection &connection);
    void writeQueuedRequest(Connection &connection);
    bool isUsable(const Connection &connection) const;
    RequestStartState startStateOf(const Connection &connection) const;
    bool startRequest(Connection &connection);
    bool startProbe(Connection &connection);
    void write(Connection &connection, const std::string &command);
    void recordRefusal(const InFlightRequest &request, StartRefusal reason, std::string_view what);
    void endForbiddenRequests();
    std::string describe(const InFlightRequest &request) const;
    std::string probeCommand() const;
    InFlightRequest takeRequest(Connection &connection);
    void dropExcessiveReplies();
    Connection *takeIdleConnection(ConnectionPool &pool);
    Connection *connect(ConnectionPool &pool, WorkerId worker, CloseReason &failure);
    void closeConnection(Connection &connection, Outcome outcome,
                         Outcome undelivered = Outcome::connectFailed);
    void reportEnd(const InFlightRequest &request, Outcome outcome, const WorkerReply *reply);
    void cleanUp();
    void shortenIdleTimeout(Duration observedIdle);

    ServerContext &context_;
    CallDirectory &calls_;
    std::map<WorkerId, ConnectionPool> pools_;
    std::set<Connection *> unflushedConnections_;
    /// With a request that the worker's machine has not confirmed as received.
    std::set<Connection *> untakenConnections_;
    std::size_t connectionCount_ = 0;
    std::size_t incompleteReplyBytes_ = 0;  ///< buffered, over all connections
    Duration idleTimeout_;                  ///< after which this gateway closes an idle connection
};

}  // namespace arrowstile
