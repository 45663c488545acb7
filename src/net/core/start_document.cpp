#include "start_document.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace arrowstile {
namespace {

using nlohmann::json;

std::optional<Address> addressIn(const json &from, const char *key) {
    const std::string text = from.value(key, "");
    return text.empty() ? std::nullopt : std::optional(parseAddress(text, key));
}

Address neededIn(const json &from, const char *key) {
    const auto address = addressIn(from, key);
    if (!address) throw ConfigError("start document: '" + std::string(key) + "' is missing");
    return *address;
}

std::uint64_t readSeed(const json &from) {
    const std::string text = from.value("seed", "0");
    std::uint64_t seed = 0;
    const auto end = text.data() + text.size();
    if (std::from_chars(text.data(), end, seed, 16).ptr != end) {
        throw ConfigError("start document: 'seed' is no hexadecimal number of 64 bits");
    }
    return seed;
}

}  // namespace

Address parseAddress(std::string_view text, std::string_view label) {
    const auto wrong = [&] {
        return ConfigError("'" + std::string(label) + "' is '" + std::string(text) + "', not IPV4:PORT");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) throw wrong();
    Address address{std::string(text.substr(0, colon)), 0};
    const auto port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    const bool whole = error == std::errc{} && end == port.data() + port.size();
    in_addr literal{};
    const bool known = ::inet_pton(AF_INET, address.host.c_str(), &literal) == 1;
    if (!whole || !known || address.port < 1 || address.port > 65535) throw wrong();
    return address;
}

StartDocument parseStartDocument(std::string_view text) {
    StartDocument start;
    try {
        const json all = json::parse(text);
        start.name = all.value("name", "");
        start.listenAddress = neededIn(all, "listen");
        start.discoveryAddress = neededIn(all, "discovery");
        start.counterAddress = addressIn(all, "counter");
        start.peerListenAddress = addressIn(all, "peer_listen");
        start.allPeersAddress = addressIn(all, "peers_all");
        for (const json &peer : all.value("peers", json::array())) {
            start.peerAddresses.push_back(parseAddress(peer.get<std::string>(), "peers"));
        }
        start.seed = readSeed(all);
        const json limits = all.value("limits", json::object());
        start.maxSockets = limits.value("sockets", start.maxSockets);
        start.maxMemoryMb = limits.value("memory_mb", start.maxMemoryMb);
        if (all.contains("known") && all.at("known").is_object())
            start.cachedWorkerListJson = all.at("known").dump();
        start.settingsJson = all.at("settings").dump();
        start.settings = readSettings(start.settingsJson);
    } catch (const json::exception &error) {
        throw ConfigError(std::string("start document: ") + error.what());
    }
    return start;
}

}  // namespace arrowstile
