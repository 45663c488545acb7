/// \file
/// The gateway process: the decision engine on the event loop, with all its connections.
#pragma once

#include <arrowstile/decision_engine.hpp>
#include <functional>
#include <memory>

#include "client_connections.hpp"
#include "core/pending_calls.hpp"
#include "core/worker_addresses.hpp"
#include "counter_client.hpp"
#include "discovery_client.hpp"
#include "peer_socket.hpp"
#include "server_context.hpp"
#include "worker_connections.hpp"

namespace arrowstile {

/// One gateway. In each iteration of the event loop it collects what has arrived on its sockets as events,
/// passes them to the decision engine together and carries out the actions that the engine returns.
class Gateway : private CallDirectory {
public:
    /// `readStartDocument` is called on SIGHUP to read the start document again; it throws ConfigError if
    /// that is not possible. The loop and the log must outlive the gateway, and the loop must run once more
    /// after the gateway's destruction, to close the remaining handles.
    Gateway(uv_loop_t *loop, StartDocument startDocument, Log &log,
            std::function<StartDocument()> readStartDocument);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Serves clients until SIGTERM or SIGINT has begun a planned stop and that is complete. Throws
    /// ConfigError if an address can't be listened on or the cached list of workers can't be read.
    void run();

private:
    struct HandleCloser {
        template <class Handle>
        void operator()(Handle *handle) const {
            uv_close(reinterpret_cast<uv_handle_t *>(handle),
                     [](uv_handle_t *closed) { delete reinterpret_cast<Handle *>(closed); });
        }
    };

    void processIteration();
    void updateListUsable();
    void runEngine();
    Duration inputAge() const;
    void armWakeTimer();
    void stop();
    void reload();

    const ApiCall *findCall(CallId call) override;
    ClientPresence clientPresence(CallId call) override;
    void recordStart(CallId call) override;
    void deliverValue(CallId call, std::string_view value) override;

    void execute(const SendTry &action);
    void execute(const AnswerRateLimited &action);
    void execute(const AnswerErrored &action);
    void execute(const CancelTry &action) { workers_.cancelTry(action.call, action.tryNumber); }
    void execute(const SetTimer &action);
    void execute(const ProbeWorker &action) { workers_.sendProbe(action.worker); }
    void execute(const CloseIdleConnections &action) { workers_.closeIdleConnections(action.worker); }
    void execute(const SendPeerMessage &action) { peers_.send(action); }
    void execute(const AddToCount &action) { counter_.addToCount(action); }
    void execute(const WatchWorkerList &action) { discovery_.setWatching(action.enabled); }
    void execute(const FetchWorkerList &) { discovery_.fetchList(); }
    void execute(const WriteLog &action) { context_.log.info(action.text); }

    ServerContext context_;
    std::function<StartDocument()> readStartDocument_;
    DecisionEngine engine_;
    PendingCallTable pendingCalls_;
    SentRequestIds sentRequestIds_;
    WorkerAddresses workerAddresses_;
    ClientConnections clients_;
    WorkerConnections workers_;
    CounterClient counter_;
    DiscoveryClient discovery_;
    PeerSocket peers_;
    bool isListUsable_ = false;         ///< as last passed to the engine
    bool mustPollBeforeWrite_ = false;  ///< requests to workers were held over for more recent input
    Timestamp wakeBy_{};                ///< when the loop has to return from waiting for input
    bool hasWokenLate_ = false;         ///< the current iteration began late, so it runs no timers
    std::vector<Event> events_;         ///< being processed; a member to reuse its memory
    std::vector<Action> actions_;       ///< being carried out; a member to reuse its memory
    std::unique_ptr<uv_prepare_t, HandleCloser> beforePoll_;
    std::unique_ptr<uv_check_t, HandleCloser> afterPoll_;
    std::unique_ptr<uv_timer_t, HandleCloser> wakeTimer_;
    std::unique_ptr<uv_signal_t, HandleCloser> sigterm_;
    std::unique_ptr<uv_signal_t, HandleCloser> sigint_;
    std::unique_ptr<uv_signal_t, HandleCloser> sigusr1_;
    std::unique_ptr<uv_signal_t, HandleCloser> sighup_;
};

}  // namespace arrowstile
