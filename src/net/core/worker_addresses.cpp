#include "worker_addresses.hpp"

#include <algorithm>
#include <utility>

namespace arrowstile {

DiscoveryUpdate WorkerAddresses::resolve(DiscoveryUpdate update) {
    if (update.isSnapshot) {
        listings_.clear();
        workersByAddress_.clear();
        displacedCount_ = 0;
    }
    for (const DiscoveredWorker &worker : update.workers) takeIn(worker);
    std::set<WorkerId> changed;
    for (const std::string &address : sharedAddresses_) updateDisplaced(address, changed);
    if (displacedCount_ > 0 || !changed.empty()) {
        for (DiscoveredWorker &worker : update.workers) {
            changed.erase(worker.entry.worker);
            if (listings_.at(worker.entry.worker.value).isDisplaced) worker.entry.state = WorkerState::gone;
        }
    }
    std::vector<DiscoveredWorker> changedWorkers;
    for (const WorkerId id : changed) {
        const Listing &listing = listings_.at(id.value);
        changedWorkers.push_back({listing.entry, listing.address});
        if (listing.isDisplaced) changedWorkers.back().entry.state = WorkerState::gone;
    }
    forgetGoneWorkers(update);
    std::ranges::move(changedWorkers, std::back_inserter(update.workers));
    sharedAddresses_.clear();
    return update;
}

void WorkerAddresses::takeIn(const DiscoveredWorker &worker) {
    const WorkerId id = worker.entry.worker;
    Listing &listing = listings_[id.value];
    listing.entry = worker.entry;
    if (!worker.address.empty() && worker.address != listing.address) {
        removeFromAddress(id, listing.address);
        listing.address = worker.address;
        workersByAddress_[listing.address].push_back(id);
    }
    const auto workers = workersByAddress_.find(listing.address);
    if (workers == workersByAddress_.end()) return;
    if (workers->second.size() > 1 || listing.isDisplaced) sharedAddresses_.insert(listing.address);
}

void WorkerAddresses::removeFromAddress(WorkerId worker, const std::string &address) {
    const auto found = workersByAddress_.find(address);
    if (found == workersByAddress_.end()) return;
    std::erase(found->second, worker);
    sharedAddresses_.insert(address);
    if (found->second.empty()) workersByAddress_.erase(found);
}

/// Finds out anew which workers at an address have lost it, and adds those for which that has changed.
void WorkerAddresses::updateDisplaced(const std::string &address, std::set<WorkerId> &changed) {
    const auto workers = workersByAddress_.find(address);
    if (workers == workersByAddress_.end()) return;
    Timestamp latestStart{};
    for (const WorkerId id : workers->second) {
        const WorkerEntry &entry = listings_.at(id.value).entry;
        if (entry.state == WorkerState::ready) latestStart = std::max(latestStart, entry.startedAt);
    }
    for (const WorkerId id : workers->second) {
        Listing &listing = listings_.at(id.value);
        const bool isDisplaced = listing.entry.startedAt < latestStart;
        if (std::exchange(listing.isDisplaced, isDisplaced) == isDisplaced) continue;
        isDisplaced ? ++displacedCount_ : --displacedCount_;
        changed.insert(id);
    }
}

/// Forgets the workers that discovery has reported as gone in this update.
void WorkerAddresses::forgetGoneWorkers(const DiscoveryUpdate &update) {
    for (const DiscoveredWorker &worker : update.workers) {
        const auto found = listings_.find(worker.entry.worker.value);
        if (found == listings_.end() || found->second.entry.state != WorkerState::gone) continue;
        displacedCount_ -= found->second.isDisplaced;
        removeFromAddress(worker.entry.worker, found->second.address);
        listings_.erase(found);
    }
}

}  // namespace arrowstile
