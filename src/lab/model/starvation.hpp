#pragma once

#include <string>
#include <vector>

#include "agenda.hpp"

namespace arrowstile::lab {

/// How one group of calls (a route, a plan) fared, by spans of a run, in calls within quotas.
struct Fared {
    std::string group;
    std::vector<double> asked, served;
    std::vector<double> could;  ///< what a policy that sees everything could have served, all groups alike
};

double sumOf(const std::vector<double> &spans);

/// Names each group that got less than `least` of what could have been served, with the span that it fared
/// worst in. Groups of fewer calls than `fewest` say too little and are left out.
std::vector<std::string> starved(const std::vector<Fared> &groups, double least, double fewest,
                                 Duration span);

}  // namespace arrowstile::lab
