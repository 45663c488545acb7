/// \file
/// A TCP connection on the libuv event loop, with buffers for input and output.
#pragma once

#include <uv.h>

#include <arrowstile/events.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/start_document.hpp"

namespace arrowstile {

/// What is done with input that arrives.
enum class InputMode : std::uint8_t {
    deliver,  ///< it is passed to the handler
    hold,  ///< it is read and kept as long as the handler allows, so that the end of the connection is seen
    discard,  ///< it is read and dropped, so that the end of the connection is seen
    wait      ///< it stays in the system
};

/// Why a connection is over, or could not be made.
enum class CloseReason : std::uint8_t {
    peerClosed,   ///< the peer closed or reset it, or the network failed
    refused,      ///< nothing listens at the address
    localFailure  ///< this machine could not connect; that says nothing about the peer
};

/// The reason that an error code of libuv (negative errno) stands for.
CloseReason closeReasonOf(int uvError);

/// The outcome of a request for which no connection could be made.
Outcome undeliveredOutcome(CloseReason reason);

/// A word for the log.
const char *toString(CloseReason reason);

/// A TCP connection. It is owned through TcpConnection::Ptr. Destroying that pointer closes the connection at
/// once and discards output that was not sent; the object itself is freed when libuv has closed the handle.
class TcpConnection {
public:
    /// Receives the events of a connection. Once the connection's pointer was destroyed, no further function
    /// is called.
    struct Handler {
        /// The connection is established.
        virtual void onOpen() {}
        /// `bytes` is all input that was not consumed yet. Returns how many bytes of it are consumed now; the
        /// rest is passed again together with the next input.
        virtual std::size_t onData(std::string_view bytes) = 0;
        /// In InputMode::hold: whether more may be read when `heldBytes` were read and not consumed.
        virtual bool mayHoldInput([[maybe_unused]] std::size_t heldBytes) { return false; }
        /// All output that had to wait for the peer was sent.
        virtual void onOutputSent() {}
        /// The peer closed the connection, it failed, or it could not be established. Called once at most;
        /// the handler then destroys the connection's pointer, here or later.
        virtual void onClosed(CloseReason reason) = 0;

    protected:
        ~Handler() = default;
    };
    /// Deleter of Ptr: closes the connection.
    struct Closer {
        void operator()(TcpConnection *connection) const;
    };
    using Ptr = std::unique_ptr<TcpConnection, Closer>;

    /// Starts to connect; onOpen or onClosed follows. Returns nullptr if that fails at once: `failure` is
    /// then set, and neither follows. The system may take up `receiveBufferBytes` for input that was not
    /// read.
    static Ptr connect(uv_loop_t *loop, const Address &to, Handler *handler, CloseReason &failure,
                       std::size_t receiveBufferBytes);
    /// Takes over the descriptor of a connected socket, which it closes if it returns nullptr.
    static Ptr adopt(uv_loop_t *loop, int descriptor, Handler *handler);

    TcpConnection(const TcpConnection &) = delete;
    TcpConnection &operator=(const TcpConnection &) = delete;

    /// Appends to the output, which is sent by the next flush().
    void write(std::string_view bytes) { queuedOutput_ += bytes; }
    /// Sends the queued output. What the system doesn't take now is sent when it becomes writable.
    void flush();
    /// Closes the sending direction only; the peer may go on sending.
    void shutdownWrite();
    /// Makes the close at the end a reset: output that the peer's machine has not taken is dropped.
    void resetOnClose();
    /// Changes what is done with input. InputMode::deliver passes input that was read before to the handler
    /// at once. InputMode::hold, when it is in effect already, asks the handler again whether more may be
    /// held.
    void setInputMode(InputMode mode);
    /// Frees all input that was read and not consumed. Not to be called from within onData().
    void discardInput();
    /// Passes as much of the held input to the handler as one read would bring. Returns whether some was
    /// consumed.
    bool deliverHeldPart();
    /// Bytes of input that were read and not consumed.
    std::size_t unconsumedBytes() const { return unconsumedInput_.size(); }
    /// Whether input lies in the system that is not read for now. The end of the connection may be behind it.
    bool mayHideEnd() const { return !isReading_ && hasUnreadInput(); }
    /// Whether input, or the end of the connection, has arrived in the system and was not read yet.
    bool hasUnreadInput() const;
    /// Whether the peer has closed its side or reset the connection, also if input before that was not read
    /// yet.
    bool hasPeerLeft() const;
    /// Whether everything that had arrived was read when the sockets were last read. False after a pause
    /// until what has gathered in the system is read.
    bool hasReadAllInput() const { return hasReadAllInput_; }
    /// Bytes written that the system has not taken yet. Those that libuv has begun to write count until the
    /// system has taken all of them.
    std::size_t unsentBytes() const { return queuedOutput_.size() + outputBeingWritten_.size(); }
    /// Bytes handed to the system since the connection was made.
    std::uint64_t sentBytes() const;
    /// Those of them that the peer's machine has not confirmed. A close with unread input drops them. 0 if
    /// the system does not tell.
    std::size_t unconfirmedBytes() const;

private:
    TcpConnection(uv_loop_t *loop, Handler *handler);
    ~TcpConnection() = default;

    int openSocket(std::size_t receiveBufferBytes);
    void handleOpen();
    void handleInput(std::string_view received);
    void startReading();
    void stopReading();
    void deliverUnconsumedInput();
    void appendUnconsumedInput(std::string_view received);
    void handleClose(CloseReason reason);
    static void onAllocate(uv_handle_t *handle, std::size_t, uv_buf_t *buffer);
    static void onRead(uv_stream_t *handle, ssize_t size, const uv_buf_t *);
    static void onWritten(uv_write_t *request, int status);

    uv_tcp_t tcp_{};
    uv_connect_t connectRequest_{};
    uv_write_t writeRequest_{};
    uv_shutdown_t shutdownRequest_{};
    Handler *handler_;                   ///< nullptr once the connection's pointer was destroyed
    std::vector<char> unconsumedInput_;  ///< takes up little more memory than its contents need
    std::string queuedOutput_;           ///< not handed to libuv yet
    std::string outputBeingWritten_;     ///< in use by writeRequest_
    std::uint64_t sentBytes_ = 0;        ///< without what has been sent of outputBeingWritten_
    InputMode inputMode_ = InputMode::deliver;
    bool isReading_ = false;
    bool hasReadAllInput_ = true;
    bool isOpen_ = false;
    bool isWriteShutdown_ = false;
    bool isClosed_ = false;
};

/// Limits the memory that the system takes up for input of a socket. For a listener it holds for the
/// connections that it accepts.
void limitReceiveBuffer(int descriptor, std::size_t bytes);

/// Converts a literal IPv4 address to the form that the socket functions take.
sockaddr_in toSocketAddress(const Address &address);

}  // namespace arrowstile
