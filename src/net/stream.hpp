#pragma once

#include <uv.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/start_document.hpp"

namespace arrowstile {

/// A TCP connection. Its one buffer for what comes in grows as it needs and is compacted in place. The holder
/// of the pointer owns it; letting go of that closes the connection, whatever is still on its way.
class Stream {
public:
    struct Holder {
        virtual void onOpen() {}
        /// Returns how many bytes it is done with.
        virtual std::size_t onBytes(std::string_view bytes) = 0;
        /// What was waiting to be written has gone.
        virtual void onDrained() {}
        /// The other side has closed the connection, or it never came up.
        virtual void onClosed() = 0;

    protected:
        ~Holder() = default;
    };
    struct LetGo {
        void operator()(Stream *stream) const;
    };
    using Ptr = std::unique_ptr<Stream, LetGo>;

    static Ptr connect(uv_loop_t *loop, const Address &to, Holder *holder);
    /// None if there was nobody to accept.
    static Ptr accept(uv_stream_t *listener, Holder *holder);

    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    void write(std::string_view bytes) { out_ += bytes; }
    void flush();
    /// Ends our sending; the other side may go on.
    void finish();
    void pause(bool on);
    /// Whether anything, or its end, has come that was not read yet.
    bool hasNews() const;
    /// Bytes not yet handed to the system, and how many ever were.
    std::size_t unsent() const { return out_.size() + writing_.size(); }
    std::uint64_t sent() const { return sent_; }

private:
    Stream(uv_loop_t *loop, Holder *holder);
    ~Stream() = default;

    void opened();
    void deliver();
    void closed();
    static void room(uv_handle_t *handle, std::size_t, uv_buf_t *buffer);
    static void came(uv_stream_t *handle, ssize_t size, const uv_buf_t *);
    static void written(uv_write_t *request, int status);

    uv_tcp_t tcp_{};
    uv_connect_t connecting_{};
    uv_write_t write_{};
    uv_shutdown_t shutdown_{};
    Holder *holder_;
    std::vector<char> in_;
    std::size_t begin_ = 0, end_ = 0;
    std::string out_, writing_;
    std::uint64_t sent_ = 0;
    bool open_ = false, finishing_ = false, over_ = false;
};

sockaddr_in socketAddress(const Address &address);

}  // namespace arrowstile
