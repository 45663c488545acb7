/// \file
/// Formats the report of a simulated run.
#pragma once

#include <string>

#include "model/fleet.hpp"

namespace arrowstile::lab {

/// Formats a report as text for people. In all formats equal reports give equal bytes: they contain nothing
/// of the clock or the host, and nothing in the order of a hash table.
std::string plainReport(const Scenario &scenario, std::uint64_t seed, const Report &report);
/// Formats a report as a JSON document.
std::string jsonReport(const Scenario &scenario, std::uint64_t seed, const Report &report);
/// Formats the service ratio by time interval as CSV, for a plot.
std::string intervalsCsv(const Report &report);
/// Returns the percentile of sorted samples by the nearest-rank method; 0 without samples. `fraction` is 0.99
/// for the 99th percentile.
double percentile(const std::vector<double> &sorted, double fraction);

}  // namespace arrowstile::lab
