#include "peers.hpp"

#include <algorithm>

#include "stream.hpp"

namespace arrowstile {
namespace {

constexpr std::size_t longestMessage = 256;

bool sameAddress(const sockaddr_in &one, const sockaddr_in &other) {
    return one.sin_addr.s_addr == other.sin_addr.s_addr && one.sin_port == other.sin_port;
}

}  // namespace

Peers::Peers(Surroundings &around) : around_(around) {}

void Peers::Close::operator()(uv_udp_t *socket) const {
    uv_close(reinterpret_cast<uv_handle_t *>(socket),
             [](uv_handle_t *handle) { delete reinterpret_cast<uv_udp_t *>(handle); });
}

void Peers::listen() {
    if (!around_.start.peerListenAddress || !around_.start.settings.engine.maySendPeerMessages) return;
    socket_.reset(new uv_udp_t);
    uv_udp_init(around_.loop, socket_.get());
    socket_->data = this;
    const sockaddr_in at = socketAddress(*around_.start.peerListenAddress);
    const int error = uv_udp_bind(socket_.get(), reinterpret_cast<const sockaddr *>(&at), 0);
    if (error != 0) throw ConfigError(std::string("can't bind 'peer_listen': ") + uv_strerror(error));
    uv_udp_recv_start(
        socket_.get(),
        [](uv_handle_t *handle, std::size_t, uv_buf_t *buffer) {
            auto &room = static_cast<Peers *>(handle->data)->room_;
            *buffer = uv_buf_init(room, sizeof room);
        },
        [](uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer, const sockaddr *from, unsigned) {
            if (size <= 0 || from == nullptr || from->sa_family != AF_INET) return;
            static_cast<Peers *>(socket->data)
                ->hear({buffer->base, static_cast<std::size_t>(size)},
                       *reinterpret_cast<const sockaddr_in *>(from));
        });
}

/// What comes from no peer's address, or is too long for a message, is passed over.
void Peers::hear(std::string_view bytes, const sockaddr_in &from) {
    const auto &peers = around_.start.peerAddresses;
    const auto peer = std::ranges::find_if(
        peers, [&](const Address &address) { return sameAddress(socketAddress(address), from); });
    if (peer == peers.end() || bytes.size() > longestMessage) return;
    ++around_.metrics.peerMessagesIn;
    PeerMessageReceived heard{{static_cast<std::uint32_t>(peer - peers.begin())}, {}};
    for (const char byte : bytes) heard.bytes.push_back(static_cast<std::byte>(byte));
    around_.happened.emplace_back(std::move(heard));
}

void Peers::tell(const SendPeerMessage &message) {
    const auto &peers = around_.start.peerAddresses;
    if (!socket_ || message.bytes.size() > longestMessage) return;
    if (message.peer ? message.peer->value >= peers.size() : !around_.start.allPeersAddress) return;
    const sockaddr_in to =
        socketAddress(message.peer ? peers[message.peer->value] : *around_.start.allPeersAddress);
    std::vector<std::byte> bytes = message.bytes;
    uv_buf_t buffer =
        uv_buf_init(reinterpret_cast<char *>(bytes.data()), static_cast<unsigned>(bytes.size()));
    if (uv_udp_try_send(socket_.get(), &buffer, 1, reinterpret_cast<const sockaddr *>(&to)) >= 0) {
        ++around_.metrics.peerMessagesOut;
    }
}

}  // namespace arrowstile
