#pragma once

#include <arrowstile/site_facts.hpp>
#include <string_view>

namespace arrowstile::simhost {

/// Reads the settings text of a start. Keys it does not know are skipped; throws WireError on what it can't
/// use.
SiteFacts readFacts(std::string_view settings);

}  // namespace arrowstile::simhost
