#include "discovery_update.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace arrowstile {
namespace {

// Latest start of a worker, Unix time: far in the future, and still without overflow in microseconds.
constexpr std::int64_t kMaxStartMs = 1ll << 50;

/// Position of `name` in `names`; 0 if it isn't one of them.
template <class Index>
Index indexOf(const std::vector<std::string> &names, const std::string &name) {
    const auto found = std::find(names.begin(), names.end(), name);
    return Index{static_cast<decltype(Index{}.value)>(found == names.end() ? 0 : found - names.begin())};
}

/// Every status but `Ready` and `Gone` counts as draining: the worker is about to leave.
WorkerState stateOf(const std::string &status) {
    if (status == "Ready") return WorkerState::ready;
    return status == "Gone" ? WorkerState::gone : WorkerState::draining;
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

/// Removes the names of workers that are gone. New workers keep appearing for as long as the gateway runs, so
/// the maps would grow without bound. A worker that comes back gets the same id again, from its name.
void DiscoveryParser::removeGoneWorkers(const DiscoveryUpdate &update) {
    std::set<WorkerId> listed, gone;
    for (const DiscoveredWorker &worker : update.workers)
        (worker.entry.state == WorkerState::gone ? gone : listed).insert(worker.entry.worker);
    std::erase_if(namesById_, [&](const auto &known) {
        return gone.contains(known.first) || (update.isSnapshot && !listed.contains(known.first));
    });
    std::erase_if(idsByName_, [&](const auto &known) { return !namesById_.contains(known.second); });
}

DiscoveryUpdate DiscoveryParser::parse(std::string_view text) {
    using nlohmann::json;
    DiscoveryUpdate update;
    try {
        const json document = json::parse(text);
        update.version = document.at("index").get<std::uint64_t>();
        update.isSnapshot = document.value("snapshot", false);
        for (const json &endpoint : document.at("endpoints")) {
            DiscoveredWorker worker;
            worker.entry.worker = idOf(endpoint.at("name").get<std::string>());
            worker.address = endpoint.value("address", "");
            worker.entry.zone = indexOf<ZoneId>(settings_.zoneNames, endpoint.value("zone", ""));
            worker.entry.type = indexOf<WorkerTypeId>(settings_.workerTypeNames, endpoint.value("type", ""));
            worker.entry.group.value = static_cast<std::uint16_t>(endpoint.value("group", 0u));
            worker.entry.state = stateOf(endpoint.value("status", ""));
            worker.entry.weight = endpoint.value("weight", 1.0);
            const auto startMs =
                std::clamp<std::int64_t>(endpoint.value("since_ms", std::int64_t{0}), 0, kMaxStartMs);
            worker.entry.startedAt = std::chrono::milliseconds(startMs);
            update.workers.push_back(std::move(worker));
        }
        removeGoneWorkers(update);
    } catch (const json::exception &error) {
        throw ConfigError(std::string("list of workers: ") + error.what());
    }
    return update;
}

}  // namespace arrowstile
