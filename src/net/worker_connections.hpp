/// \file
/// The connections to workers, and the upstream tries and probes that are sent over them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "core/api_call.hpp"
#include "core/discovery_update.hpp"
#include "core/worker_reply.hpp"
#include "server_context.hpp"
#include "tcp_connection.hpp"

namespace arrowstile {

/// Keeps a pool of connections to each worker. Each try and each probe ends in exactly one TryEnded or
/// ProbeEnded event, whatever happens to its connection.
class WorkerConnections {
public:
    /// Receives the value of a call that a worker answered. It has to send the value to the client and close
    /// the call.
    using AnswerCallback = std::function<void(CallId, std::string_view value)>;
    /// Returns whether a call has its final answer or its client has gone.
    using IsCallClosed = std::function<bool(CallId)>;

    WorkerConnections(ServerContext &context, AnswerCallback onAnswer, IsCallClosed isCallClosed);
    ~WorkerConnections();

    /// Applies a change of discovery's list. Closes the idle connections to workers that are no longer ready,
    /// or whose process or address has changed.
    void updateWorkers(const DiscoveryUpdate &update);
    /// Sends `call` to the worker that `action` names. Ends as notSent if the worker is unknown, the deadline
    /// has passed or no connection is available.
    void sendTry(const SendTry &action, TryNumber tryNumber, const ApiCall &call);
    /// Gives up a try: closes its connection and reports the try as cancelled. Does nothing if it has ended.
    void cancelTry(CallId call, TryNumber tryNumber);
    /// Asks a worker for its load, if the settings say that workers report it in their replies to probes, or
    /// else whether it replies.
    void sendProbe(WorkerId worker);
    /// Closes all connections to a worker on which no reply is awaited.
    void closeIdleConnections(WorkerId worker);
    /// Sends all queued output. Before that, closes connections if incomplete replies take up too much
    /// memory.
    void flush();
    /// Reports a try as notSent.
    void reportNotSent(const SendTry &action, TryNumber tryNumber);

private:
    struct Connection;
    struct InFlightRequest;
    struct ConnectionPool;

    void sendRequest(ConnectionPool &pool, WorkerId worker, InFlightRequest request, std::string command);
    Connection *takeIdleConnection(ConnectionPool &pool);
    Connection *connect(ConnectionPool &pool, WorkerId worker, CloseReason &failure);
    void closeConnection(Connection &connection, Outcome outcome,
                         Outcome undelivered = Outcome::connectFailed);
    void reportEnd(const InFlightRequest &request, Outcome outcome, const WorkerReply *reply);
    void cleanUp();
    void shortenIdleTimeout(Duration observedIdle);

    ServerContext &context_;
    AnswerCallback onAnswer_;
    IsCallClosed isCallClosed_;
    std::map<WorkerId, ConnectionPool> pools_;
    std::set<Connection *> unflushedConnections_;
    std::size_t connectionCount_ = 0;
    std::size_t incompleteReplyBytes_ = 0;  ///< buffered, over all connections
    Duration idleTimeout_;                  ///< after which this gateway closes an idle connection
};

}  // namespace arrowstile
