#include "peer_socket.hpp"

#include <algorithm>

#include "tcp_connection.hpp"

namespace arrowstile {
namespace {

constexpr std::size_t kMaxMessageBytes = 256;

bool isSameAddress(const sockaddr_in &left, const sockaddr_in &right) {
    return left.sin_addr.s_addr == right.sin_addr.s_addr && left.sin_port == right.sin_port;
}

}  // namespace

PeerSocket::PeerSocket(ServerContext &context) : context_(context) {}

void PeerSocket::SocketCloser::operator()(uv_udp_t *socket) const {
    uv_close(reinterpret_cast<uv_handle_t *>(socket),
             [](uv_handle_t *handle) { delete reinterpret_cast<uv_udp_t *>(handle); });
}

void PeerSocket::listen() {
    if (!context_.startDocument.peerListenAddress ||
        !context_.startDocument.settings.engine.maySendPeerMessages)
        return;
    socket_.reset(new uv_udp_t);
    uv_udp_init(context_.loop, socket_.get());
    socket_->data = this;
    const sockaddr_in address = toSocketAddress(*context_.startDocument.peerListenAddress);
    const int error = uv_udp_bind(socket_.get(), reinterpret_cast<const sockaddr *>(&address), 0);
    if (error != 0)
        throw ConfigError(std::string("can't bind the UDP address 'peer_listen': ") + uv_strerror(error));
    uv_udp_recv_start(
        socket_.get(),
        [](uv_handle_t *handle, std::size_t, uv_buf_t *buffer) {
            auto &receiveBuffer = static_cast<PeerSocket *>(handle->data)->receiveBuffer_;
            *buffer = uv_buf_init(receiveBuffer, sizeof receiveBuffer);
        },
        [](uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer, const sockaddr *from, unsigned) {
            if (size <= 0 || from == nullptr || from->sa_family != AF_INET) return;
            static_cast<PeerSocket *>(socket->data)
                ->handleMessage({buffer->base, static_cast<std::size_t>(size)},
                                *reinterpret_cast<const sockaddr_in *>(from));
        });
}

/// Reports a message as an event. Datagrams that are too long, or that don't come from the address of a peer,
/// are ignored.
void PeerSocket::handleMessage(std::string_view bytes, const sockaddr_in &from) {
    const auto &peers = context_.startDocument.peerAddresses;
    const auto peer = std::ranges::find_if(
        peers, [&](const Address &address) { return isSameAddress(toSocketAddress(address), from); });
    if (peer == peers.end() || bytes.size() > kMaxMessageBytes) return;
    ++context_.metrics.peerMessagesIn;
    PeerMessageReceived message{{static_cast<std::uint32_t>(peer - peers.begin())}, {}};
    for (const char byte : bytes) message.bytes.push_back(static_cast<std::byte>(byte));
    context_.pendingEvents.emplace_back(std::move(message));
}

void PeerSocket::send(const SendPeerMessage &message) {
    const auto &peers = context_.startDocument.peerAddresses;
    if (!socket_ || message.bytes.size() > kMaxMessageBytes) return;
    if (message.peer ? message.peer->value >= peers.size() : !context_.startDocument.allPeersAddress) return;
    const sockaddr_in to =
        toSocketAddress(message.peer ? peers[message.peer->value] : *context_.startDocument.allPeersAddress);
    std::vector<std::byte> bytes = message.bytes;
    uv_buf_t buffer =
        uv_buf_init(reinterpret_cast<char *>(bytes.data()), static_cast<unsigned>(bytes.size()));
    if (uv_udp_try_send(socket_.get(), &buffer, 1, reinterpret_cast<const sockaddr *>(&to)) >= 0) {
        ++context_.metrics.peerMessagesOut;
    }
}

}  // namespace arrowstile
