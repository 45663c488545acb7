#include "start_document.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace arrowstile {
namespace {

using nlohmann::json;

std::optional<Address> addressIn(const json &from, const char *key) {
    const std::string text = from.value(key, "");
    return text.empty() ? std::nullopt : std::optional(readAddress(text, key));
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

Address readAddress(std::string_view text, std::string_view whose) {
    const auto wrong = [&] {
        return ConfigError("'" + std::string(whose) + "' is '" + std::string(text) + "', not IPV4:PORT");
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

StartDocument readStart(std::string_view text) {
    StartDocument start;
    try {
        const json all = json::parse(text);
        start.name = all.value("name", "");
        start.listen = neededIn(all, "listen");
        start.discovery = neededIn(all, "discovery");
        start.counter = addressIn(all, "counter");
        start.peerListen = addressIn(all, "peer_listen");
        start.peersAll = addressIn(all, "peers_all");
        for (const json &peer : all.value("peers", json::array())) {
            start.peers.push_back(readAddress(peer.get<std::string>(), "peers"));
        }
        start.seed = readSeed(all);
        const json limits = all.value("limits", json::object());
        start.sockets = limits.value("sockets", start.sockets);
        start.memoryMb = limits.value("memory_mb", start.memoryMb);
        if (all.contains("known") && all.at("known").is_object()) start.known = all.at("known").dump();
        start.settings = all.at("settings").dump();
        start.site = readSettings(start.settings);
    } catch (const json::exception &error) {
        throw ConfigError(std::string("start document: ") + error.what());
    }
    return start;
}

}  // namespace arrowstile
