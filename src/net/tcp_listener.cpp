#include "tcp_listener.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "tcp_connection.hpp"

namespace arrowstile {
namespace {

using std::chrono::milliseconds;

constexpr int kListenBacklog = 1024;
/// So many connections are accepted before other input is processed.
constexpr int kMaxAcceptsAtOnce = 64;
/// Pause before accept() is tried again after it failed for lack of descriptors or memory.
constexpr Duration kRetryDelay = milliseconds(10);

/// Creates a listening socket. Returns its descriptor, or -1 with errno set.
int openListeningSocket(const Address &address, std::size_t receiveBufferBytes) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return -1;
    const int enabled = 1;
    const sockaddr_in socketAddress = toSocketAddress(address);
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    limitReceiveBuffer(descriptor, receiveBufferBytes);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress) == 0 &&
        ::listen(descriptor, kListenBacklog) == 0)
        return descriptor;
    const int error = errno;
    ::close(descriptor);
    errno = error;
    return -1;
}

/// Whether accept() failed for one connection only, so that the next one can be accepted at once (accept(2)).
bool concernsOneConnection(int error) {
    switch (error) {
        case ECONNABORTED:
        case EHOSTDOWN:
        case EHOSTUNREACH:
        case EINTR:
        case ENETDOWN:
        case ENETUNREACH:
        case ENONET:
        case ENOPROTOOPT:
        case EOPNOTSUPP:
        case EPERM:
        case EPROTO: return true;
        default: return false;
    }
}

}  // namespace

TcpListener::TcpListener(uv_loop_t *loop, const Address &address, std::size_t receiveBufferBytes,
                         Clock &clock, TimerQueue &timers, AcceptCallback onAccept)
    : clock_(clock),
      timers_(timers),
      onAccept_(std::move(onAccept)),
      descriptor_(openListeningSocket(address, receiveBufferBytes)) {
    if (descriptor_ < 0) {
        throw ConfigError("can't listen on " + address.host + ":" + std::to_string(address.port) + ": " +
                          std::strerror(errno));
    }
    poll_.reset(new uv_poll_t);
    uv_poll_init(loop, poll_.get(), descriptor_);
    poll_->data = this;
    updatePolling();
}

TcpListener::~TcpListener() {
    timers_.cancel(retryTimer_);
    poll_.reset();
    ::close(descriptor_);
}

void TcpListener::PollCloser::operator()(uv_poll_t *poll) const {
    uv_close(reinterpret_cast<uv_handle_t *>(poll),
             [](uv_handle_t *handle) { delete reinterpret_cast<uv_poll_t *>(handle); });
}

void TcpListener::setPaused(bool paused) {
    isPaused_ = paused;
    updatePolling();
}

/// Polls for connections unless accepting is paused or waits for a retry.
void TcpListener::updatePolling() {
    if (isPaused_ || isRetryScheduled_) {
        uv_poll_stop(poll_.get());
        return;
    }
    uv_poll_start(poll_.get(), UV_READABLE,
                  [](uv_poll_t *poll, int, int) { static_cast<TcpListener *>(poll->data)->acceptWaiting(); });
}

bool TcpListener::acceptWaiting() {
    for (int remaining = kMaxAcceptsAtOnce; remaining > 0 && !isPaused_; --remaining) {
        const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            onAccept_(accepted);
            continue;
        }
        if (concernsOneConnection(errno)) continue;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return false;
        timers_.cancel(retryTimer_);
        isRetryScheduled_ = true;
        retryTimer_ = timers_.schedule(clock_.now() + kRetryDelay, [this] {
            isRetryScheduled_ = false;
            updatePolling();
        });
        updatePolling();
        return false;
    }
    return !isPaused_;
}

}  // namespace arrowstile
