/// \file
/// Reads the settings, the JSON object in a gateway's start document that describes its environment.
#pragma once

#include <arrowstile/engine_settings.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace arrowstile {

/// Configuration or discovery data can't be used: settings, start document, addresses, list of workers.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The settings of one gateway: those of its decision engine, and those that only its network code needs.
struct Settings {
    EngineSettings engine;
    std::vector<std::string> routeNames;       ///< by RouteId
    std::vector<std::string> planNames;        ///< by PlanId
    std::vector<std::string> zoneNames;        ///< by ZoneId
    std::vector<std::string> workerTypeNames;  ///< by WorkerTypeId
    std::vector<std::string> loadColumnNames;  ///< columns of a load report, in the order of `loadColumns`
    Duration workerIdleTimeout{};              ///< after which workers close an idle connection
};

/// Reads the settings from their JSON text. Unknown keys are ignored. Throws ConfigError on malformed JSON, a
/// missing required key, a value of the wrong type and an unsupported value.
Settings readSettings(std::string_view text);

}  // namespace arrowstile
