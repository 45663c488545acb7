#pragma once

#include <optional>
#include <settings.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace arrowstile {

/// Where to reach somebody: a literal IPv4 address, as there is no DNS.
struct Address {
    std::string host;
    int port = 0;
    auto operator<=>(const Address &) const = default;
};

/// Throws ConfigError, naming what the address is of.
Address readAddress(std::string_view text, std::string_view whose);

/// All that a gatekeeper is told when it starts.
struct StartDocument {
    std::string name;
    Address listen, discovery;
    std::optional<Address> counter, peerListen, peersAll;
    std::vector<Address> peers;
    std::uint64_t seed = 0;
    unsigned sockets = 1024, memoryMb = 192;
    std::string settings;  ///< as they were written, to tell whether they changed
    std::string known;     ///< the list of workers as last seen, empty if there is none
    Settings site;
};

/// Throws ConfigError with one line that says what is wrong.
StartDocument readStart(std::string_view text);

}  // namespace arrowstile
