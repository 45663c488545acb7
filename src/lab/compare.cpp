#include "compare.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numeric>

namespace arrowstile::lab {
namespace {

/// Returns the critical value of Student's t distribution for a two-sided 95% interval. Beyond 30 degrees of
/// freedom it is approximated by that of the normal distribution.
double criticalT95(std::size_t degreesOfFreedom) {
    static constexpr double table[] = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
                                       2.201,  2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
                                       2.080,  2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042};
    return degreesOfFreedom == 0                  ? INFINITY
           : degreesOfFreedom <= std::size(table) ? table[degreesOfFreedom - 1]
                                                  : 1.96;
}

}  // namespace

std::pair<double, double> meanWithHalfWidth(const std::vector<double> &samples) {
    const double count = static_cast<double>(samples.size());
    const double mean = std::accumulate(samples.begin(), samples.end(), 0.0) / std::max(1.0, count);
    double sumOfSquares = 0;
    for (const double sample : samples) sumOfSquares += (sample - mean) * (sample - mean);
    if (samples.size() < 2) return {mean, INFINITY};
    return {mean, criticalT95(samples.size() - 1) * std::sqrt(sumOfSquares / (count - 1) / count)};
}

Difference compareScenarios(const Scenario &first, const Scenario &second, std::uint64_t firstSeed,
                            unsigned seedCount) {
    Difference difference{first.name, second.name, {}, 0, 0, 0};
    for (unsigned i = 0; i < seedCount; ++i) {
        const Report firstReport = simulate(first, firstSeed + i);
        const Report secondReport = simulate(second, firstSeed + i);
        difference.ratioDifferences.push_back(secondReport.serviceRatio() - firstReport.serviceRatio());
        difference.runsWithViolations +=
            !firstReport.ruleViolations.empty() + !secondReport.ruleViolations.empty();
    }
    std::tie(difference.mean, difference.halfWidth) = meanWithHalfWidth(difference.ratioDifferences);
    return difference;
}

std::string Difference::plainText() const {
    char text[512];
    std::snprintf(text, sizeof text,
                  "%s, less %s, over %zu paired seeds (virtual time, simulated)\n"
                  "service ratio %+.4f, 95%% from %+.4f to %+.4f\nruns that broke a rule: %u\n",
                  secondName.c_str(), firstName.c_str(), ratioDifferences.size(), mean, mean - halfWidth,
                  mean + halfWidth, runsWithViolations);
    return text;
}

std::string Difference::jsonText() const {
    const nlohmann::ordered_json document{{"first", firstName},
                                          {"second", secondName},
                                          {"simulated", true},
                                          {"pairs", ratioDifferences},
                                          {"mean", mean},
                                          {"low", mean - halfWidth},
                                          {"high", mean + halfWidth},
                                          {"runs_broken", runsWithViolations}};
    return document.dump(2) + "\n";
}

}  // namespace arrowstile::lab
