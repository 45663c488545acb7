#pragma once

#include <string>
#include <vector>

#include "model/fleet.hpp"

namespace arrowstile::lab {

/// The second scenario's service ratio less the first's, over paired seeds.
struct Difference {
    std::string first, second;
    std::vector<double> pairs;
    double mean = 0, halfWidth = 0;  ///< of the 95% interval, by Student's t
    unsigned broken = 0;             ///< runs in which a rule broke
    std::string plain() const;
    std::string json() const;
};

Difference comparePairs(const Scenario &first, const Scenario &second, std::uint64_t seed, unsigned pairs);
/// Mean and half width of a 95% interval of the mean.
std::pair<double, double> meanWithin(const std::vector<double> &samples);

}  // namespace arrowstile::lab
