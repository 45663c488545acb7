/// \file
/// The client of the counter service.
#pragma once

#include <memory>
#include <set>
#include <vector>

#include "core/http.hpp"
#include "server_context.hpp"
#include "tcp_connection.hpp"

namespace arrowstile {

/// Sends requests to the counter over HTTP and reports the end of each as one AddToCountEnded event. A
/// request without a response in time is reported as timed out; its connection is not used for another
/// request until the response arrives, which may be late or never.
class CounterClient {
public:
    explicit CounterClient(ServerContext &context);
    ~CounterClient();

    /// Starts a request. At the limit on connections, another request is given up for it.
    void addToCount(const AddToCount &action);
    /// Sends all queued output.
    void flush();
    /// To be called when the counter's address has changed. Requests in flight end on their connections,
    /// which are then closed; new requests go to the new address.
    void onAddressChange();

private:
    struct Connection;

    Connection *connect(CloseReason &failure);
    void closeConnection(Connection &connection, bool wasAnswered,
                         Outcome undelivered = Outcome::connectFailed);
    void reportEnd(CountName name, Timestamp sentAt, Outcome outcome, double total);
    void closeIdleConnections();

    ServerContext &context_;
    std::vector<std::unique_ptr<Connection>> connections_;  ///< the most recently used one is last
    std::set<Connection *> unflushedConnections_;
};

}  // namespace arrowstile
