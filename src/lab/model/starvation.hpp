/// \file
/// Detects starvation: a route or plan that is served far less than it could be.
#pragma once

#include <string>
#include <vector>

#include "event_queue.hpp"

namespace arrowstile::lab {

/// How the requests of clients in one group (a route or a plan) were served over a run. The vectors hold
/// numbers of requests within quotas, one element per time interval; a request counts in the interval in
/// which it started.
struct GroupService {
    std::string name;
    std::vector<double> requested;
    std::vector<double> served;      ///< answered in time
    std::vector<double> achievable;  ///< what an ideal policy with full knowledge would serve, which treats
                                     ///< all groups alike
};

/// Returns the sum of all elements.
double sum(const std::vector<double> &values);

/// Returns a line for each group that was served less than `minFraction` of what was achievable. The line
/// also names the interval in which the most achievable requests were not served. Groups with fewer than
/// `minRequests` achievable requests are skipped, since their result is mostly chance. `interval` is the
/// length of the intervals.
std::vector<std::string> findStarvedGroups(const std::vector<GroupService> &groups, double minFraction,
                                           double minRequests, Duration interval);

}  // namespace arrowstile::lab
