#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "agenda.hpp"

namespace arrowstile::lab {

enum class Step : std::uint8_t { taken, sent, tryEnded, ran, answered, told, gatewayDied };

/// One line of the record of a run, from both sides of the gatekeepers, in order of time.
struct Line {
    Timestamp at{};
    Step step{};
    unsigned gateway = 0;
    std::uint64_t call = 0;
    std::uint64_t node = 0;
    Duration patience{};  ///< taken: how long the client waits
    bool once = false;    ///< taken: must not run twice
};

struct RuleLimits {
    Duration answerSlack{}, drainGrace{};
};

/// Finds what breaks a rule, from the record alone: it knows nothing of the gatekeepers' own state.
/// Names are "answers" (one, in time), "effects" (none twice), "drains", "one try" (none overlap).
std::vector<std::string> brokenRules(const std::vector<Line> &record, const RuleLimits &limits,
                                     Timestamp end);

}  // namespace arrowstile::lab
