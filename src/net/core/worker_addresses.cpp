#include "worker_addresses.hpp"

#include <algorithm>
#include <utility>

namespace arrowstile {

DiscoveryUpdate WorkerAddresses::resolve(DiscoveryUpdate update) {
    if (update.isSnapshot) {
        listings_.clear();
        workersByAddress_.clear();
    }
    std::set<std::string> addresses;
    for (const DiscoveredWorker &worker : update.workers) {
        const auto known = listings_.find(worker.entry.worker);
        if (known != listings_.end()) addresses.insert(known->second.address);
        takeIn(worker);
        addresses.insert(listings_.at(worker.entry.worker).address);
    }
    std::set<WorkerId> changed;
    for (const std::string &address : addresses) changed.merge(updateDisplaced(address));
    for (DiscoveredWorker &worker : update.workers) {
        changed.erase(worker.entry.worker);
        if (listings_.at(worker.entry.worker).isDisplaced) worker.entry.state = WorkerState::gone;
    }
    for (const WorkerId id : changed) {
        const Listing &listing = listings_.at(id);
        update.workers.push_back({listing.entry, listing.address});
        if (listing.isDisplaced) update.workers.back().entry.state = WorkerState::gone;
    }
    forgetGoneWorkers();
    return update;
}

void WorkerAddresses::takeIn(const DiscoveredWorker &worker) {
    Listing &listing = listings_[worker.entry.worker];
    workersByAddress_[listing.address].erase(worker.entry.worker);
    if (!worker.address.empty()) listing.address = worker.address;
    listing.entry = worker.entry;
    workersByAddress_[listing.address].insert(worker.entry.worker);
}

/// Finds out anew which workers at an address have lost it, and returns those for which that has changed.
std::set<WorkerId> WorkerAddresses::updateDisplaced(const std::string &address) {
    const std::set<WorkerId> &workers = workersByAddress_.at(address);
    Timestamp latestStart{};
    for (const WorkerId id : workers) {
        const WorkerEntry &entry = listings_.at(id).entry;
        if (entry.state == WorkerState::ready) latestStart = std::max(latestStart, entry.startedAt);
    }
    std::set<WorkerId> changed;
    for (const WorkerId id : workers) {
        Listing &listing = listings_.at(id);
        const bool isDisplaced = !address.empty() && listing.entry.startedAt < latestStart;
        if (std::exchange(listing.isDisplaced, isDisplaced) != isDisplaced) changed.insert(id);
    }
    return changed;
}

void WorkerAddresses::forgetGoneWorkers() {
    std::erase_if(listings_, [this](const auto &known) {
        if (known.second.entry.state != WorkerState::gone) return false;
        workersByAddress_[known.second.address].erase(known.first);
        return true;
    });
    std::erase_if(workersByAddress_, [](const auto &entry) { return entry.second.empty(); });
}

}  // namespace arrowstile
