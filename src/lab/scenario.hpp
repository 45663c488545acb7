/// \file
/// Reads scenario files.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "model/fleet.hpp"

namespace arrowstile::lab {

/// A scenario file can't be used. The message is "file:line: key: expected ...", or the TOML parser's message
/// after "file:line: ".
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Parses a scenario (TOML) and checks the whole of it, before anything is simulated. `file` is the name of
/// the file, for error messages only. Throws ScenarioError if the text isn't TOML, or if a key is unknown,
/// missing or outside its bounds.
Scenario readScenario(std::string_view text, const std::string &file);

}  // namespace arrowstile::lab
