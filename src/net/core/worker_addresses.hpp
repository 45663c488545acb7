/// \file
/// Which listed worker an address belongs to. Without I/O.
#pragma once

#include <set>
#include <unordered_map>

#include "discovery_update.hpp"

namespace arrowstile {

/// Tells from discovery's updates which workers have lost their address to another.
///
/// One process listens at an address. When a new one comes up at the address of one that has gone, the list
/// may still name the old worker. What is sent to that one would reach the new process, beyond the limits
/// that hold for it, and with the old worker's zone, group and start.
class WorkerAddresses {
public:
    /// Takes an update in and returns it with each worker as gone whose address belongs to another: to the
    /// one that started last or, of equal starts, to the one that was listed last. A worker whose address is
    /// free again is listed again.
    DiscoveryUpdate resolve(DiscoveryUpdate update);

private:
    struct Listing {
        WorkerEntry entry;
        std::string address;
        bool isDisplaced = false;
    };

    void takeIn(const DiscoveredWorker &worker);
    void removeFromAddress(WorkerId worker, const std::string &address);
    void updateDisplaced(const std::string &address, std::set<WorkerId> &changed);
    void forgetGoneWorkers(const DiscoveryUpdate &update);

    std::unordered_map<std::uint32_t, Listing> listings_;  ///< by the worker's id
    std::unordered_map<std::string, std::vector<WorkerId>> workersByAddress_;
    /// Addresses of several workers, and those that a worker has left, in the update that is taken in.
    std::set<std::string> sharedAddresses_;
    std::size_t displacedCount_ = 0;
};

}  // namespace arrowstile
