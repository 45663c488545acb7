#pragma once

#include <arrowstile/site_facts.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace arrowstile {

struct FactsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The facts for the decisions, and beside them what only those read who speak to the outside: names in the
/// order of their ids, and what a connection to a worker bears.
struct Site {
    SiteFacts facts;
    std::vector<std::string> routes, plans, zones, kinds, loadColumns;
    Span idleLimit{};
    unsigned triesPerConnection = 1;
};

/// Reads the settings text of a start. Keys it does not know are skipped; throws FactsError on what it can't
/// use.
Site readSite(std::string_view settings);

}  // namespace arrowstile
