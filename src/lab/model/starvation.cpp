#include "starvation.hpp"

#include <cstdio>
#include <numeric>

namespace arrowstile::lab {

double sum(const std::vector<double> &values) { return std::accumulate(values.begin(), values.end(), 0.0); }

std::vector<std::string> findStarvedGroups(const std::vector<GroupService> &groups, double minFraction,
                                           double minRequests, Duration interval) {
    std::vector<std::string> found;
    for (const GroupService &group : groups) {
        const double achievable = sum(group.achievable);
        const double served = sum(group.served);
        if (achievable < minRequests || served >= minFraction * achievable) continue;
        std::size_t worst = 0;
        double maxMissing = -1;
        for (std::size_t i = 0; i < group.achievable.size(); ++i) {
            const double missing = group.achievable[i] - group.served[i];
            if (missing > maxMissing) maxMissing = missing, worst = i;
        }
        const double fromSeconds = toMs(interval) / 1000 * static_cast<double>(worst);
        char text[256];
        std::snprintf(text, sizeof text,
                      "%s: %.3f of what could have been served (least %.3f), worst from %g s on",
                      group.name.c_str(), served / achievable, minFraction, fromSeconds);
        found.emplace_back(text);
    }
    return found;
}

}  // namespace arrowstile::lab
