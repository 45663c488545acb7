#include "compare.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <numeric>

namespace arrowstile::lab {
namespace {

/// Two-sided 95% of Student's t by degrees of freedom; past the table it is the normal's.
double studentsT(std::size_t freedom) {
    static constexpr double table[] = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
                                       2.201,  2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
                                       2.080,  2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042};
    return freedom == 0 ? INFINITY : freedom <= std::size(table) ? table[freedom - 1] : 1.96;
}

}  // namespace

std::pair<double, double> meanWithin(const std::vector<double> &samples) {
    const double count = static_cast<double>(samples.size());
    const double mean = std::accumulate(samples.begin(), samples.end(), 0.0) / std::max(1.0, count);
    double squares = 0;
    for (const double one : samples) squares += (one - mean) * (one - mean);
    if (samples.size() < 2) return {mean, INFINITY};
    return {mean, studentsT(samples.size() - 1) * std::sqrt(squares / (count - 1) / count)};
}

Difference comparePairs(const Scenario &first, const Scenario &second, std::uint64_t seed, unsigned pairs) {
    Difference out{first.name, second.name, {}, 0, 0, 0};
    for (unsigned i = 0; i < pairs; ++i) {
        const Report one = play(first, seed + i), two = play(second, seed + i);
        out.pairs.push_back(two.ratio() - one.ratio());
        out.broken += !one.broken.empty() + !two.broken.empty();
    }
    std::tie(out.mean, out.halfWidth) = meanWithin(out.pairs);
    return out;
}

std::string Difference::plain() const {
    char text[512];
    std::snprintf(text, sizeof text,
                  "%s, less %s, over %zu paired seeds (virtual time, simulated)\n"
                  "service ratio %+.4f, 95%% from %+.4f to %+.4f\nruns that broke a rule: %u\n",
                  second.c_str(), first.c_str(), pairs.size(), mean, mean - halfWidth, mean + halfWidth,
                  broken);
    return text;
}

std::string Difference::json() const {
    const nlohmann::ordered_json all{
        {"first", first}, {"second", second},        {"simulated", true},        {"pairs", pairs},
        {"mean", mean},   {"low", mean - halfWidth}, {"high", mean + halfWidth}, {"runs_broken", broken}};
    return all.dump(2) + "\n";
}

}  // namespace arrowstile::lab
