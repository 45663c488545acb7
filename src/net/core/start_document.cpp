#include "start_document.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace arrowstile {
namespace {

using nlohmann::json;

/// Returns nullopt if the key is missing or its value empty.
std::optional<Address> optionalAddress(const json &object, const char *key) {
    const std::string text = object.value(key, "");
    return text.empty() ? std::nullopt : std::optional(parseAddress(text, key));
}

Address requiredAddress(const json &object, const char *key) {
    const auto address = optionalAddress(object, key);
    if (!address) throw ConfigError("start document: '" + std::string(key) + "' is missing or empty");
    return *address;
}

std::uint64_t parseSeed(const json &object) {
    const std::string text = object.value("seed", "0");
    std::uint64_t seed = 0;
    const auto end = text.data() + text.size();
    if (std::from_chars(text.data(), end, seed, 16).ptr != end) {
        throw ConfigError("start document: 'seed' must be a hexadecimal number of up to 64 bits");
    }
    return seed;
}

}  // namespace

Address parseAddress(std::string_view text, std::string_view label) {
    const auto invalid = [&] {
        return ConfigError("'" + std::string(label) + "' is '" + std::string(text) +
                           "', expected a literal IPv4 address and a port (IPV4:PORT)");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) throw invalid();
    Address address{std::string(text.substr(0, colon)), 0};
    const auto port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    const bool isPortNumber = error == std::errc{} && end == port.data() + port.size();
    in_addr binary{};
    const bool isIpv4 = ::inet_pton(AF_INET, address.host.c_str(), &binary) == 1;
    if (!isPortNumber || !isIpv4 || address.port < 1 || address.port > 65535) throw invalid();
    return address;
}

StartDocument parseStartDocument(std::string_view text) {
    StartDocument start;
    try {
        const json document = json::parse(text);
        start.name = document.value("name", "");
        start.listenAddress = requiredAddress(document, "listen");
        start.discoveryAddress = requiredAddress(document, "discovery");
        start.counterAddress = optionalAddress(document, "counter");
        start.peerListenAddress = optionalAddress(document, "peer_listen");
        start.allPeersAddress = optionalAddress(document, "peers_all");
        for (const json &peer : document.value("peers", json::array())) {
            start.peerAddresses.push_back(parseAddress(peer.get<std::string>(), "peers"));
        }
        start.seed = parseSeed(document);
        const json limits = document.value("limits", json::object());
        start.maxSockets = limits.value("sockets", start.maxSockets);
        start.maxMemoryMb = limits.value("memory_mb", start.maxMemoryMb);
        if (document.contains("known") && document.at("known").is_object())
            start.cachedWorkerListJson = document.at("known").dump();
        start.settingsJson = document.at("settings").dump();
        start.settings = readSettings(start.settingsJson);
    } catch (const json::exception &error) {
        throw ConfigError(std::string("start document: ") + error.what());
    }
    return start;
}

}  // namespace arrowstile
