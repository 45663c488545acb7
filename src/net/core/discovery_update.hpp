#pragma once

#include <arrowstile/events.hpp>
#include <map>
#include <settings.hpp>
#include <string>
#include <string_view>

namespace arrowstile {

/// One worker as the list names it; where it is reached may differ between gatekeepers.
struct DiscoveredWorker {
    WorkerEntry entry;
    std::string address;
};

struct DiscoveryUpdate {
    std::uint64_t version = 0;
    bool isSnapshot = false;
    std::vector<DiscoveredWorker> workers;
};

/// Reads discovery's lists. A worker's id comes from its name alone, so that all gatekeepers give it the same
/// one, also after a restart.
class DiscoveryParser {
public:
    explicit DiscoveryParser(const Settings &settings) : settings_(settings) {}

    /// Throws ConfigError on what is no such list.
    DiscoveryUpdate parse(std::string_view text);

    /// How many names are kept.
    std::size_t knownWorkerCount() const { return namesById_.size(); }

private:
    WorkerId idOf(const std::string &name);
    void removeGoneWorkers(const DiscoveryUpdate &news);

    const Settings &settings_;
    std::map<std::string, WorkerId> idsByName_;
    std::map<WorkerId, std::string> namesById_;
};

}  // namespace arrowstile
