#pragma once

#include <arrowstile/events.hpp>
#include <optional>
#include <settings.hpp>
#include <string_view>
#include <vector>

#include "resp.hpp"

namespace arrowstile {

/// What a worker's reply to a command means.
struct WorkerReply {
    Outcome outcome = Outcome::errored;
    std::string_view value;
    std::optional<double> meteredShare, trueUnits;
    std::vector<double> load;
    bool spoilt = false;    ///< no reply that belongs to a command: the connection is of no further use
    bool misspelt = false;  ///< the worker could not read what it was sent
};

WorkerReply readWorkerReply(const resp::Reply &reply, const Settings &site);

/// Whether what has come so far can still become a reply to an API call, with a value of `longest` at most.
bool mayBeReply(std::string_view begun, std::size_t longest);

/// A load report in the order of the site's columns, empty if the text is none.
std::vector<double> readLoad(std::string_view text, const Settings &site);

}  // namespace arrowstile
