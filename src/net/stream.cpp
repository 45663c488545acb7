#include "stream.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace arrowstile {
namespace {

constexpr std::size_t firstRoom = 2048, leastRoom = 1024;
constexpr std::size_t mostIdleRoom = 16 * 1024;  // more is given back once all of it is read

Stream *owner(void *data) { return static_cast<Stream *>(data); }

}  // namespace

sockaddr_in socketAddress(const Address &address) {
    sockaddr_in at{};
    uv_ip4_addr(address.host.c_str(), address.port, &at);
    return at;
}

Stream::Stream(uv_loop_t *loop, Holder *holder) : holder_(holder) {
    uv_tcp_init(loop, &tcp_);
    tcp_.data = this;
}

void Stream::LetGo::operator()(Stream *stream) const {
    stream->holder_ = nullptr;
    uv_close(reinterpret_cast<uv_handle_t *>(&stream->tcp_),
             [](uv_handle_t *handle) { delete owner(handle->data); });
}

Stream::Ptr Stream::connect(uv_loop_t *loop, const Address &to, Holder *holder) {
    Ptr stream(new Stream(loop, holder));
    const sockaddr_in at = socketAddress(to);
    stream->connecting_.data = stream.get();
    const int error =
        uv_tcp_connect(&stream->connecting_, &stream->tcp_, reinterpret_cast<const sockaddr *>(&at),
                       [](uv_connect_t *request, int status) {
                           Stream *self = owner(request->data);
                           if (self->holder_ == nullptr) return;
                           if (status == 0) self->opened();
                           if (status != 0) self->closed();
                       });
    return error == 0 ? std::move(stream) : nullptr;
}

Stream::Ptr Stream::accept(uv_stream_t *listener, Holder *holder) {
    Ptr stream(new Stream(listener->loop, holder));
    if (uv_accept(listener, reinterpret_cast<uv_stream_t *>(&stream->tcp_)) != 0) return nullptr;
    stream->opened();
    return stream;
}

void Stream::opened() {
    open_ = true;
    uv_tcp_nodelay(&tcp_, 1);
    uv_read_start(reinterpret_cast<uv_stream_t *>(&tcp_), room, came);
    holder_->onOpen();
}

/// The holder lets go of the stream at some time after this, and hears nothing more of it.
void Stream::closed() {
    if (over_ || holder_ == nullptr) return;
    over_ = true;
    uv_read_stop(reinterpret_cast<uv_stream_t *>(&tcp_));
    holder_->onClosed();
}

void Stream::room(uv_handle_t *handle, std::size_t, uv_buf_t *buffer) {
    Stream &self = *owner(handle->data);
    if (self.begin_ == self.end_) {
        self.begin_ = self.end_ = 0;
    }
    if (self.in_.size() - self.end_ < leastRoom && self.begin_ > 0) {
        std::memmove(self.in_.data(), self.in_.data() + self.begin_, self.end_ - self.begin_);
        self.end_ -= self.begin_;
        self.begin_ = 0;
    }
    if (self.in_.size() - self.end_ < leastRoom) {
        self.in_.resize(self.in_.empty() ? firstRoom : self.in_.size() * 2);
    }
    *buffer = uv_buf_init(self.in_.data() + self.end_, static_cast<unsigned>(self.in_.size() - self.end_));
}

void Stream::came(uv_stream_t *handle, ssize_t size, const uv_buf_t *) {
    Stream &self = *owner(handle->data);
    if (self.holder_ == nullptr || size == 0) return;
    if (size < 0) return self.closed();
    self.end_ += static_cast<std::size_t>(size);
    self.deliver();
}

void Stream::deliver() {
    const std::size_t used = holder_->onBytes({in_.data() + begin_, end_ - begin_});
    if (holder_ == nullptr) return;
    begin_ += used;
    if (begin_ == end_ && in_.size() > mostIdleRoom) {
        in_ = {};
        begin_ = end_ = 0;
    }
}

void Stream::flush() {
    if (!open_ || over_ || out_.empty() || !writing_.empty()) return;
    const auto handle = reinterpret_cast<uv_stream_t *>(&tcp_);
    uv_buf_t buffer = uv_buf_init(out_.data(), static_cast<unsigned>(out_.size()));
    const int wrote = uv_try_write(handle, &buffer, 1);
    if (wrote > 0) {
        sent_ += static_cast<std::uint64_t>(wrote);
        out_.erase(0, static_cast<std::size_t>(wrote));
    }
    if (out_.empty()) {
        if (out_.capacity() > mostIdleRoom) out_ = {};
        return;
    }
    writing_.swap(out_);
    write_.data = this;
    buffer = uv_buf_init(writing_.data(), static_cast<unsigned>(writing_.size()));
    if (uv_write(&write_, handle, &buffer, 1, written) != 0) writing_.clear();
}

void Stream::written(uv_write_t *request, int status) {
    Stream &self = *owner(request->data);
    if (status == 0) self.sent_ += self.writing_.size();
    self.writing_ = {};
    if (self.holder_ == nullptr) return;
    if (status != 0) return self.closed();
    self.flush();
    if (self.unsent() == 0) self.holder_->onDrained();
}

void Stream::finish() {
    if (std::exchange(finishing_, true) || !open_ || over_) return;
    uv_shutdown(&shutdown_, reinterpret_cast<uv_stream_t *>(&tcp_), [](uv_shutdown_t *, int) {});
}

bool Stream::hasNews() const {
    uv_os_fd_t handle;
    char byte;
    if (uv_fileno(reinterpret_cast<const uv_handle_t *>(&tcp_), &handle) != 0) return true;
    return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK);
}

void Stream::pause(bool on) {
    if (!open_ || over_) return;
    const auto handle = reinterpret_cast<uv_stream_t *>(&tcp_);
    if (on) {
        uv_read_stop(handle);
    } else {
        uv_read_start(handle, room, came);
        if (begin_ < end_) deliver();  // what had come before the pause brings no bytes after it
    }
}

}  // namespace arrowstile
