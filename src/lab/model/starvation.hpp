/// \file
/// Detects starvation: a route or plan that is served far less than it could be.
#pragma once

#include <string>
#include <vector>

#include "event_queue.hpp"

namespace arrowstile::lab {

/// How the calls of one group (a route or a plan) were served over a run: numbers of calls within quotas, one
/// element per time interval.
struct GroupService {
    std::string name;
    std::vector<double> requested;
    std::vector<double> served;      ///< answered in time
    std::vector<double> achievable;  ///< what an ideal policy with full knowledge would serve, which treats
                                     ///< all groups alike
};

double sum(const std::vector<double> &values);

/// Returns a line for each group that was served less than `minFraction` of what was achievable. The line
/// also names the interval with the largest difference. Groups with fewer than `minCalls` achievable calls
/// are skipped, since their result is mostly chance. `interval` is the length of the intervals.
std::vector<std::string> findStarvedGroups(const std::vector<GroupService> &groups, double minFraction,
                                           double minCalls, Duration interval);

}  // namespace arrowstile::lab
