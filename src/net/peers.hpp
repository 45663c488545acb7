#pragma once

#include <memory>

#include "surroundings.hpp"

namespace arrowstile {

/// Datagrams between gatekeepers, where the site allows them.
class Peers {
public:
    explicit Peers(Surroundings &around);

    /// Throws ConfigError if the address can't be bound.
    void listen();
    void tell(const SendPeerMessage &message);

private:
    struct Close {
        void operator()(uv_udp_t *socket) const;
    };

    void hear(std::string_view bytes, const sockaddr_in &from);

    Surroundings &around_;
    std::unique_ptr<uv_udp_t, Close> socket_;
    char room_[2048];
};

}  // namespace arrowstile
