/// \file
/// Compares the service ratio of two scenarios over several seeds.
#pragma once

#include <string>
#include <vector>

#include "model/fleet.hpp"

namespace arrowstile::lab {

/// By how much the second scenario's service ratio exceeds the first's. Both were simulated with each seed.
struct Difference {
    std::string firstName;
    std::string secondName;
    std::vector<double> ratioDifferences;  ///< by seed: second minus first
    double mean = 0;
    double halfWidth = 0;             ///< of the mean's 95% confidence interval (Student's t)
    unsigned runsWithViolations = 0;  ///< runs, of both scenarios, in which a rule was broken
    /// The comparison as text for people.
    std::string plainText() const;
    /// The comparison as a JSON document.
    std::string jsonText() const;
};

/// Simulates both scenarios with the seeds from `firstSeed` on, `seedCount` of them.
Difference compareScenarios(const Scenario &first, const Scenario &second, std::uint64_t firstSeed,
                            unsigned seedCount);
/// Returns the mean of the samples and the half width of its 95% confidence interval by Student's t. With
/// fewer than two samples the half width is infinite.
std::pair<double, double> meanWithHalfWidth(const std::vector<double> &samples);

}  // namespace arrowstile::lab
