#include "tcp_connection.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace arrowstile {
namespace {

/// Most bytes of one read.
constexpr std::size_t kReadBytes = 4 * 1024;
/// When the buffer for unconsumed input has to grow, it gets this fraction (1/4) more than it needs.
constexpr std::size_t kInputReserveDivisor = 4;

/// What a read puts its bytes into. All connections of a thread share it, since what a handler does not
/// consume at once is copied.
thread_local std::array<char, kReadBytes> readBuffer;

/// A larger buffer for output is freed when it is empty.
constexpr std::size_t kMaxIdleOutputBytes = 4 * 1024;

/// Frees the memory of a container. An assignment of `{}` would keep it: for a container that is the
/// assignment of an empty initializer list.
template <class Container>
void freeMemory(Container &container) {
    Container().swap(container);
}

TcpConnection *toConnection(void *data) { return static_cast<TcpConnection *>(data); }

}  // namespace

sockaddr_in toSocketAddress(const Address &address) {
    sockaddr_in result{};
    uv_ip4_addr(address.host.c_str(), address.port, &result);
    return result;
}

CloseReason closeReasonOf(int uvError) {
    switch (uvError) {
        case UV_ECONNREFUSED: return CloseReason::refused;
        case UV_EACCES:
        case UV_EADDRINUSE:
        case UV_EADDRNOTAVAIL:
        case UV_EAGAIN:
        case UV_EMFILE:
        case UV_ENETDOWN:
        case UV_ENETUNREACH:
        case UV_ENFILE:
        case UV_ENOBUFS:
        case UV_ENOMEM:
        case UV_EPERM: return CloseReason::localFailure;
        default: return CloseReason::peerClosed;
    }
}

Outcome undeliveredOutcome(CloseReason reason) {
    return reason == CloseReason::localFailure ? Outcome::localFailure : Outcome::connectFailed;
}

const char *toString(CloseReason reason) {
    switch (reason) {
        case CloseReason::peerClosed: return "closed by peer";
        case CloseReason::refused: return "refused";
        case CloseReason::localFailure: return "local failure";
    }
    return "";
}

TcpConnection::TcpConnection(uv_loop_t *loop, Handler *handler) : handler_(handler) {
    uv_tcp_init(loop, &tcp_);
    tcp_.data = this;
}

void TcpConnection::Closer::operator()(TcpConnection *connection) const {
    connection->handler_ = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&connection->tcp_),
             [](uv_handle_t *handle) { delete toConnection(handle->data); });
}

void limitReceiveBuffer(int descriptor, std::size_t bytes) {
    const int half = static_cast<int>(bytes / 2);  // the system doubles it (socket(7))
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &half, sizeof half);
}

TcpConnection::Ptr TcpConnection::connect(uv_loop_t *loop, const Address &to, Handler *handler,
                                          CloseReason &failure, std::size_t receiveBufferBytes) {
    Ptr connection(new TcpConnection(loop, handler));
    const int socketError = connection->openSocket(receiveBufferBytes);
    if (socketError != 0) {
        failure = closeReasonOf(socketError);
        return nullptr;
    }
    const sockaddr_in address = toSocketAddress(to);
    connection->connectRequest_.data = connection.get();
    const int error =
        uv_tcp_connect(&connection->connectRequest_, &connection->tcp_,
                       reinterpret_cast<const sockaddr *>(&address), [](uv_connect_t *request, int status) {
                           TcpConnection *self = toConnection(request->data);
                           if (self->handler_ == nullptr) return;
                           if (status == 0) self->handleOpen();
                           if (status != 0) self->handleClose(closeReasonOf(status));
                       });
    if (error == 0) return connection;
    failure = closeReasonOf(error);
    return nullptr;
}

/// Returns 0 or an error code of libuv.
int TcpConnection::openSocket(std::size_t receiveBufferBytes) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return -errno;
    limitReceiveBuffer(descriptor, receiveBufferBytes);
    const int error = uv_tcp_open(&tcp_, descriptor);
    if (error != 0) ::close(descriptor);
    return error;
}

TcpConnection::Ptr TcpConnection::adopt(uv_loop_t *loop, int descriptor, Handler *handler) {
    Ptr connection(new TcpConnection(loop, handler));
    if (uv_tcp_open(&connection->tcp_, descriptor) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    connection->handleOpen();
    return connection;
}

void TcpConnection::handleOpen() {
    isOpen_ = true;
    uv_tcp_nodelay(&tcp_, 1);
    startReading();
    handler_->onOpen();
}

/// Reports the end of the connection to the handler, once.
void TcpConnection::handleClose(CloseReason reason) {
    if (isClosed_ || handler_ == nullptr) return;
    isClosed_ = true;
    stopReading();
    handler_->onClosed(reason);
}

void TcpConnection::onAllocate(uv_handle_t *, std::size_t, uv_buf_t *buffer) {
    *buffer = uv_buf_init(readBuffer.data(), static_cast<unsigned>(readBuffer.size()));
}

void TcpConnection::onRead(uv_stream_t *handle, ssize_t size, const uv_buf_t *buffer) {
    TcpConnection &self = *toConnection(handle->data);
    if (self.handler_ == nullptr) return;
    if (size < 0) return self.handleClose(CloseReason::peerClosed);
    self.hasReadAllInput_ = static_cast<std::size_t>(size) < buffer->len;
    if (size > 0) self.handleInput({buffer->base, static_cast<std::size_t>(size)});
}

/// Passes input that was just received to the handler, behind the input that it has not consumed before, or
/// does what the input mode says instead.
void TcpConnection::handleInput(std::string_view received) {
    if (inputMode_ == InputMode::discard) return;
    if (inputMode_ != InputMode::deliver) {
        appendUnconsumedInput(received);
        if (!handler_->mayHoldInput(unconsumedInput_.size())) stopReading();
        return;
    }
    if (!unconsumedInput_.empty()) {
        appendUnconsumedInput(received);
        return deliverUnconsumedInput();
    }
    const std::size_t consumedBytes = handler_->onData(received);
    if (handler_ != nullptr) appendUnconsumedInput(received.substr(consumedBytes));
}

void TcpConnection::deliverUnconsumedInput() {
    const std::string_view input(unconsumedInput_.data(), unconsumedInput_.size());
    const std::size_t consumedBytes = handler_->onData(input);
    if (handler_ == nullptr || consumedBytes == 0) return;
    std::vector<char> rest(input.begin() + static_cast<std::ptrdiff_t>(consumedBytes), input.end());
    unconsumedInput_.swap(rest);
}

void TcpConnection::appendUnconsumedInput(std::string_view received) {
    const std::size_t neededBytes = unconsumedInput_.size() + received.size();
    if (neededBytes > unconsumedInput_.capacity() && !unconsumedInput_.empty())
        unconsumedInput_.reserve(neededBytes + neededBytes / kInputReserveDivisor);
    unconsumedInput_.insert(unconsumedInput_.end(), received.begin(), received.end());
}

void TcpConnection::flush() {
    if (!isOpen_ || isClosed_ || queuedOutput_.empty() || !outputBeingWritten_.empty()) return;
    const auto handle = reinterpret_cast<uv_stream_t *>(&tcp_);
    uv_buf_t buffer = uv_buf_init(queuedOutput_.data(), static_cast<unsigned>(queuedOutput_.size()));
    const int writtenBytes = uv_try_write(handle, &buffer, 1);
    if (writtenBytes > 0) {
        sentBytes_ += static_cast<std::uint64_t>(writtenBytes);
        queuedOutput_.erase(0, static_cast<std::size_t>(writtenBytes));
    }
    if (queuedOutput_.empty()) {
        if (queuedOutput_.capacity() > kMaxIdleOutputBytes) freeMemory(queuedOutput_);
        return;
    }
    outputBeingWritten_ = queuedOutput_;  // without the memory of what was sent
    freeMemory(queuedOutput_);
    writeRequest_.data = this;
    buffer = uv_buf_init(outputBeingWritten_.data(), static_cast<unsigned>(outputBeingWritten_.size()));
    if (uv_write(&writeRequest_, handle, &buffer, 1, onWritten) != 0) outputBeingWritten_.clear();
}

void TcpConnection::onWritten(uv_write_t *request, int status) {
    TcpConnection &self = *toConnection(request->data);
    if (status == 0) self.sentBytes_ += self.outputBeingWritten_.size();
    freeMemory(self.outputBeingWritten_);
    if (self.handler_ == nullptr) return;
    if (status != 0) return self.handleClose(CloseReason::peerClosed);
    self.flush();
    if (self.unsentBytes() == 0) self.handler_->onOutputSent();
}

void TcpConnection::shutdownWrite() {
    if (std::exchange(isWriteShutdown_, true) || !isOpen_ || isClosed_) return;
    uv_shutdown(&shutdownRequest_, reinterpret_cast<uv_stream_t *>(&tcp_), [](uv_shutdown_t *, int) {});
}

void TcpConnection::resetOnClose() {
    uv_os_fd_t descriptor;
    const linger dropOutput{.l_onoff = 1, .l_linger = 0};
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&tcp_), &descriptor) == 0)
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &dropOutput, sizeof dropOutput);
}

std::uint64_t TcpConnection::sentBytes() const {
    if (outputBeingWritten_.empty()) return sentBytes_;
    const auto handle = reinterpret_cast<const uv_stream_t *>(&tcp_);
    return sentBytes_ + outputBeingWritten_.size() - uv_stream_get_write_queue_size(handle);
}

std::size_t TcpConnection::unconfirmedBytes() const {
    uv_os_fd_t descriptor;
    int bytes = 0;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&tcp_), &descriptor) != 0) return 0;
    return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void TcpConnection::discardInput() { freeMemory(unconsumedInput_); }

bool TcpConnection::hasUnreadInput() const {
    uv_os_fd_t descriptor;
    char byte;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&tcp_), &descriptor) != 0) return true;
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool TcpConnection::hasPeerLeft() const {
    pollfd polled{-1, POLLRDHUP, 0};
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&tcp_), &polled.fd) != 0) return true;
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void TcpConnection::setInputMode(InputMode mode) {
    if (!isOpen_ || isClosed_) return;
    inputMode_ = mode;
    const bool isHeldEnough = mode == InputMode::hold && !handler_->mayHoldInput(unconsumedInput_.size());
    if (mode == InputMode::wait || isHeldEnough) return stopReading();
    startReading();
    if (mode != InputMode::deliver) return;
    hasReadAllInput_ = !hasUnreadInput();
    // No further input need arrive to trigger the processing of what was read before.
    if (!unconsumedInput_.empty()) deliverUnconsumedInput();
}

bool TcpConnection::deliverHeldPart() {
    const std::size_t partBytes = std::min(unconsumedInput_.size(), kReadBytes);
    const std::size_t consumedBytes = handler_->onData({unconsumedInput_.data(), partBytes});
    if (handler_ == nullptr) return false;
    const auto begin = unconsumedInput_.begin() + static_cast<std::ptrdiff_t>(consumedBytes);
    std::vector<char> rest(begin, unconsumedInput_.end());
    unconsumedInput_.swap(rest);
    return consumedBytes > 0;
}

void TcpConnection::startReading() {
    if (std::exchange(isReading_, true)) return;
    uv_read_start(reinterpret_cast<uv_stream_t *>(&tcp_), onAllocate, onRead);
}

void TcpConnection::stopReading() {
    if (std::exchange(isReading_, false)) uv_read_stop(reinterpret_cast<uv_stream_t *>(&tcp_));
}

}  // namespace arrowstile
