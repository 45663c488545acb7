/// \file
/// Parses the lists of workers that discovery sends.
#pragma once

#include <arrowstile/events.hpp>
#include <map>
#include <settings.hpp>
#include <string>
#include <string_view>

namespace arrowstile {

/// One worker in discovery's list.
struct DiscoveredWorker {
    WorkerEntry entry;
    /// `IPV4:PORT`, not checked; empty if the list states none. Kept apart from the entry, as different
    /// gateways may reach a worker at different addresses.
    std::string address;
};

/// A list of workers: all of them (a snapshot), or only those that changed (a delta).
struct DiscoveryUpdate {
    std::uint64_t version = 0;  ///< discovery's version of the list
    bool isSnapshot = false;
    std::vector<DiscoveredWorker> workers;
};

/// Parses the lists and assigns the workers' ids. An id is a hash of the worker's name, so that all gateways
/// give a worker the same id, also after a restart. Where two names share a hash, the one seen later gets the
/// next free id.
class DiscoveryParser {
public:
    /// `settings` must outlive the parser.
    explicit DiscoveryParser(const Settings &settings) : settings_(settings) {}

    /// Parses the JSON text of a list. Throws ConfigError on malformed JSON, a missing `index`, `endpoints`
    /// or `name`, and a value of the wrong type.
    DiscoveryUpdate parse(std::string_view text);

    /// Number of workers whose names are kept: those that were listed and are not gone.
    std::size_t knownWorkerCount() const { return namesById_.size(); }

private:
    WorkerId idOf(const std::string &name);
    void removeGoneWorkers(const DiscoveryUpdate &update);

    const Settings &settings_;
    std::map<std::string, WorkerId> idsByName_;
    std::map<WorkerId, std::string> namesById_;
};

}  // namespace arrowstile
