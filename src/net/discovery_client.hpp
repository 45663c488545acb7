/// \file
/// The client of the discovery service, which lists the workers.
#pragma once

#include <arrowstile/worker_list_freshness.hpp>
#include <functional>

#include "core/discovery_update.hpp"
#include "core/http.hpp"
#include "server_context.hpp"
#include "tcp_connection.hpp"

namespace arrowstile {

/// Watches discovery's list of workers by long polling over HTTP, and fetches the whole list on request. At
/// most one request is in flight. After a failure the client connects and asks again. It reports to
/// WorkerListFreshness what it learns about the age of the list.
class DiscoveryClient final : TcpConnection::Handler {
public:
    /// Receives each update, and an empty one of kind `failed` if a request failed in the mode onRequest.
    using UpdateCallback = std::function<void(const DiscoveryUpdate &, WorkerListKind kind)>;

    DiscoveryClient(ServerContext &context, UpdateCallback onUpdate);

    /// Takes over the list of an earlier run, in discovery's JSON format, so that the watch asks only for
    /// what has changed since. Throws ConfigError if it can't be read.
    void loadCachedList(std::string_view json);
    /// Whether there is a list, be it a cached one.
    bool hasList() const { return hasList_; }
    /// Whether the list may be used at the present time.
    bool mayUseList() const { return freshness_.mayUseList(context_.clock.now()); }
    /// Starts or stops the watch. A request in flight is not cancelled.
    void setWatching(bool enabled);
    /// Requests the whole list.
    void fetchList();
    /// To be called when discovery's address has changed. Gives up a request in flight and requests the whole
    /// list, because versions of the list at the old address may mean nothing at the new one.
    void onAddressChange();

private:
    /// What the request in flight asks for.
    enum class RequestKind {
        snapshot,      ///< the whole list
        confirmation,  ///< the changes up to now, at once
        watch          ///< the next change, when it comes
    };

    std::size_t onData(std::string_view bytes) override;
    void onOpen() override;
    void onClosed(CloseReason reason) override;

    void handleResponse(const HttpResponse &response);
    void handleOlderVersion(std::uint64_t version);
    void sendRequest();
    bool openConnection();
    RequestKind nextRequestKind() const;
    std::string requestTarget(RequestKind kind) const;
    void restartTimeout(Duration timeout);
    void handleTimeout();
    void loseConnection(ListDoubt cause);
    void reconnectLater();

    ServerContext &context_;
    UpdateCallback onUpdate_;
    DiscoveryParser updateParser_;
    WorkerListFreshness freshness_;
    std::unique_ptr<HttpResponseParser> responseParser_;
    TcpConnection::Ptr tcp_;
    TimerQueue::Key timer_{};    ///< timeout of the request in flight, or time of the next attempt to connect
    std::uint64_t version_ = 0;  ///< of the latest list
    RequestKind requestKind_{};  ///< of the latest request
    Duration firstByteTimeout_;  ///< for responses that discovery sends at once
    Duration reconnectDelay_;
    Timestamp responseBegunAt_{};  ///< when the first part of the latest response arrived
    bool hasList_ = false;
    bool isConfirmationWanted_ = true;  ///< discovery may have changes for this gateway already
    bool isWatching_ = false;
    bool isSnapshotWanted_ = false;
    bool isOpen_ = false;
    bool isRequestInFlight_ = false;
    bool isResponseBegun_ = false;  ///< a part of the response has arrived
    bool mustReconnect_ = false;    ///< no further request can be sent on this connection
};

}  // namespace arrowstile
