#pragma once

#include <arrowstile/events.hpp>
#include <map>
#include <settings.hpp>
#include <string>
#include <string_view>

namespace arrowstile {

/// One worker as the list names it; where it is reached may differ between gatekeepers.
struct Target {
    WorkerEntry entry;
    std::string address;
};

struct TargetNews {
    std::uint64_t version = 0;
    bool whole = false;
    std::vector<Target> targets;
};

/// Reads discovery's lists. A worker's id comes from its name alone, so that all gatekeepers give it the same
/// one, also after a restart.
class TargetReader {
public:
    explicit TargetReader(const Settings &site) : site_(site) {}

    /// Throws ConfigError on what is no such list.
    TargetNews read(std::string_view text);

    /// How many names are kept.
    std::size_t size() const { return names_.size(); }

private:
    WorkerId idOf(const std::string &name);
    void forget(const TargetNews &news);

    const Settings &site_;
    std::map<std::string, WorkerId> ids_;
    std::map<WorkerId, std::string> names_;
};

}  // namespace arrowstile
