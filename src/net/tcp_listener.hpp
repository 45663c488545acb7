/// \file
/// A listening TCP socket on the libuv event loop.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>

#include "clock.hpp"
#include "core/start_document.hpp"

namespace arrowstile {

/// Listens for connections and accepts them. It does not use libuv's own listener, which closes the
/// connections that wait when accept() fails for lack of descriptors.
class TcpListener {
public:
    /// Receives a connected descriptor, which it then owns.
    using AcceptCallback = std::function<void(int descriptor)>;

    /// Throws ConfigError if the address can't be listened on. Accepts while the loop runs; `timers` and
    /// `clock` must outlive the listener.
    TcpListener(uv_loop_t *loop, const Address &address, std::size_t receiveBufferBytes, Clock &clock,
                TimerQueue &timers, AcceptCallback onAccept);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// Stops accepting, or goes on. Connections that come meanwhile wait in the system.
    void setPaused(bool paused);
    /// Accepts the connections that wait now, unless paused. Returns whether more may wait.
    bool acceptWaiting();

private:
    struct PollCloser {
        void operator()(uv_poll_t *poll) const;
    };

    void updatePolling();

    Clock &clock_;
    TimerQueue &timers_;
    AcceptCallback onAccept_;
    int descriptor_;
    std::unique_ptr<uv_poll_t, PollCloser> poll_;
    TimerQueue::Key retryTimer_{};
    bool isPaused_ = false;
    bool isRetryScheduled_ = false;
};

}  // namespace arrowstile
