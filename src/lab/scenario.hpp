#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "model/fleet.hpp"

namespace arrowstile::lab {

/// A scenario that can't be used: "file:line: key: what was expected".
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Checks the whole document before anything starts; `file` is named in errors only.
Scenario readScenario(std::string_view text, const std::string &file);

}  // namespace arrowstile::lab
