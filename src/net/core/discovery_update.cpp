#include "discovery_update.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace arrowstile {
namespace {

constexpr std::int64_t latestMs = 1ll << 50;  // far off, and no overflow in microseconds

template <class Place>
Place placeOf(const std::vector<std::string> &names, const std::string &name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return Place{static_cast<decltype(Place{}.value)>(found == names.end() ? 0 : found - names.begin())};
}

WorkerState stateOf(const std::string &word) {
    if (word == "Ready") return WorkerState::ready;
    return word == "Gone" ? WorkerState::gone : WorkerState::draining;
}

}  // namespace

WorkerId DiscoveryParser::idOf(const std::string &name) {
    if (const auto known = idsByName_.find(name); known != idsByName_.end()) return known->second;
    std::uint32_t hash = 2166136261u;  // FNV-1a
    for (const char byte : name) hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619u;
    while (namesById_.contains(WorkerId{hash})) ++hash;
    namesById_[WorkerId{hash}] = name;
    return idsByName_[name] = WorkerId{hash};
}

/// Names of workers that are gone are not kept: on a long day new ones go on coming. One that comes back gets
/// the same id again, from its name.
void DiscoveryParser::removeGoneWorkers(const DiscoveryUpdate &news) {
    std::set<WorkerId> listed, gone;
    for (const DiscoveredWorker &target : news.workers)
        (target.entry.state == WorkerState::gone ? gone : listed).insert(target.entry.worker);
    std::erase_if(namesById_, [&](const auto &one) {
        return gone.contains(one.first) || (news.isSnapshot && !listed.contains(one.first));
    });
    std::erase_if(idsByName_, [&](const auto &one) { return !namesById_.contains(one.second); });
}

DiscoveryUpdate DiscoveryParser::parse(std::string_view text) {
    using nlohmann::json;
    DiscoveryUpdate news;
    try {
        const json all = json::parse(text);
        news.version = all.at("index").get<std::uint64_t>();
        news.isSnapshot = all.value("snapshot", false);
        for (const json &one : all.at("endpoints")) {
            DiscoveredWorker target;
            target.entry.worker = idOf(one.at("name").get<std::string>());
            target.address = one.value("address", "");
            target.entry.zone = placeOf<ZoneId>(settings_.zoneNames, one.value("zone", ""));
            target.entry.type = placeOf<WorkerTypeId>(settings_.workerTypeNames, one.value("type", ""));
            target.entry.group.value = static_cast<std::uint16_t>(one.value("group", 0u));
            target.entry.state = stateOf(one.value("status", ""));
            target.entry.weight = one.value("weight", 1.0);
            const auto since = std::clamp<std::int64_t>(one.value("since_ms", std::int64_t{0}), 0, latestMs);
            target.entry.startedAt = std::chrono::milliseconds(since);
            news.workers.push_back(std::move(target));
        }
        removeGoneWorkers(news);
    } catch (const json::exception &error) {
        throw ConfigError(std::string("list of workers: ") + error.what());
    }
    return news;
}

}  // namespace arrowstile
