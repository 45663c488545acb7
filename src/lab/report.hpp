#pragma once

#include <string>

#include "model/fleet.hpp"

namespace arrowstile::lab {

/// The same bytes for the same report: no clock, no host, no order of a hash table.
std::string plainReport(const Scenario &scenario, std::uint64_t seed, const Report &report);
std::string jsonReport(const Scenario &scenario, std::uint64_t seed, const Report &report);
/// The service ratio by spans of the run, for a plot.
std::string spansCsv(const Report &report);
/// Of sorted samples, by the nearest rank; 0 without any.
double percentile(const std::vector<double> &sorted, double part);

}  // namespace arrowstile::lab
