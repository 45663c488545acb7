/// \file
/// Reads the start document, the JSON file that a gateway is started with.
#pragma once

#include <optional>
#include <settings.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace arrowstile {

/// A literal IPv4 address and a port. Host names aren't supported, as there is no DNS.
struct Address {
    std::string host;
    int port = 0;
    auto operator<=>(const Address &) const = default;
};

/// Parses `IPV4:PORT`. `label` says what the address is for. Throws ConfigError with the label and the text.
Address parseAddress(std::string_view text, std::string_view label);

/// The contents of a start document. The key of each field is given where its name differs.
struct StartDocument {
    std::string name;                          ///< of this gateway, for the log
    Address listenAddress;                     ///< `listen`: for clients
    Address discoveryAddress;                  ///< `discovery`
    std::optional<Address> counterAddress;     ///< `counter`
    std::optional<Address> peerListenAddress;  ///< `peer_listen`: for messages from other gateways
    std::optional<Address> allPeersAddress;    ///< `peers_all`: for messages to all other gateways
    std::vector<Address> peerAddresses;        ///< `peers`: the other gateways
    std::uint64_t seed = 0;                    ///< of the decision engine's random number generator
    unsigned maxSockets = 1024;                ///< `limits.sockets`: file descriptors of the process
    unsigned maxMemoryMb = 192;                ///< `limits.memory_mb`: memory of the process in MiB
    std::string settingsJson;                  ///< `settings` as text, to detect changes on a reload
    /// `known`: the list of workers as it was last seen, in discovery's format; empty if there is none.
    std::string cachedWorkerListJson;
    Settings settings;  ///< parsed from settingsJson
};

/// Parses a start document. Throws ConfigError with a message of one line on malformed JSON, a missing
/// required key and an unsupported value.
StartDocument parseStartDocument(std::string_view text);

}  // namespace arrowstile
