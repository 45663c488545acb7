/// \file
/// Messages between gateways.
#pragma once

#include <memory>

#include "server_context.hpp"

namespace arrowstile {

/// Sends and receives messages to and from the other gateways as UDP datagrams, if the settings allow that.
class PeerSocket {
public:
    explicit PeerSocket(ServerContext &context);

    /// Opens the socket, if the start document has an address for it and the settings allow peer messages.
    /// Throws ConfigError if the address can't be bound.
    void listen();
    /// Sends a message to one gateway or to all. It is dropped if it is too long, if the peer is unknown or
    /// if the system can't send it at once.
    void send(const SendPeerMessage &message);

private:
    struct SocketCloser {
        void operator()(uv_udp_t *socket) const;
    };

    void handleMessage(std::string_view bytes, const sockaddr_in &from);

    ServerContext &context_;
    std::unique_ptr<uv_udp_t, SocketCloser> socket_;  ///< nullptr if messages are not allowed
    char receiveBuffer_[2048];
};

}  // namespace arrowstile
