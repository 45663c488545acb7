#pragma once

#include <arrowstile/decision_engine.hpp>
#include <functional>
#include <memory>

#include "clients.hpp"
#include "core/pending_calls.hpp"
#include "counter.hpp"
#include "discovery.hpp"
#include "peers.hpp"
#include "surroundings.hpp"
#include "workers.hpp"

namespace arrowstile {

/// One gatekeeper on sockets: gathers what is ready, hands it to the decisions in one go and carries out what
/// comes back.
class Gateway {
public:
    /// `reread` is asked for the start document again on SIGHUP; it throws ConfigError if that can't be used.
    Gateway(uv_loop_t *loop, StartDocument start, Log &log, std::function<StartDocument()> reread);
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    ~Gateway();

    /// Serves until a planned stop is through.
    void run();

private:
    struct Closing {
        template <class Handle>
        void operator()(Handle *handle) const {
            uv_close(reinterpret_cast<uv_handle_t *>(handle),
                     [](uv_handle_t *closed) { delete reinterpret_cast<Handle *>(closed); });
        }
    };

    void turn();
    void handOver();
    void wake();
    void stop();
    void reload();
    void answered(CallId call, std::string_view value);

    void carry(const SendTry &action);
    void carry(const AnswerRateLimited &action);
    void carry(const AnswerErrored &action);
    void carry(const CancelTry &action) { workers_.callOff(action.call, action.tryNumber); }
    void carry(const SetTimer &action);
    void carry(const ProbeWorker &action) { workers_.probe(action.worker); }
    void carry(const CloseIdleConnections &action) { workers_.closeIdle(action.worker); }
    void carry(const SendPeerMessage &action) { peers_.tell(action); }
    void carry(const AddToCount &action) { counter_.add(action); }
    void carry(const WatchWorkerList &action) { discovery_.follow(action.enabled); }
    void carry(const FetchWorkerList &) { discovery_.fetch(); }
    void carry(const WriteLog &action) { around_.log.info(action.text); }

    Surroundings around_;
    std::function<StartDocument()> reread_;
    DecisionEngine keeper_;
    PendingCallTable book_;
    Clients clients_;
    Workers workers_;
    Counter counter_;
    Discovery discovery_;
    Peers peers_;
    Timestamp wakeBy_{};
    bool overslept_ = false;
    std::vector<Event> events_;
    std::vector<Action> actions_;
    std::unique_ptr<uv_prepare_t, Closing> before_;
    std::unique_ptr<uv_check_t, Closing> after_;
    std::unique_ptr<uv_timer_t, Closing> timer_;
    std::unique_ptr<uv_signal_t, Closing> terminated_, interrupted_, asked_, renewed_;
};

}  // namespace arrowstile
