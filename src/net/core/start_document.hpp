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
Address parseAddress(std::string_view text, std::string_view label);

/// All that a gatekeeper is told when it starts.
struct StartDocument {
    std::string name;
    Address listenAddress, discoveryAddress;
    std::optional<Address> counterAddress, peerListenAddress, allPeersAddress;
    std::vector<Address> peerAddresses;
    std::uint64_t seed = 0;
    unsigned maxSockets = 1024, maxMemoryMb = 192;
    std::string settingsJson;          ///< as they were written, to tell whether they changed
    std::string cachedWorkerListJson;  ///< the list of workers as last seen, empty if there is none
    Settings settings;
};

/// Throws ConfigError with one line that says what is wrong.
StartDocument parseStartDocument(std::string_view text);

}  // namespace arrowstile
