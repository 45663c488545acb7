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
    std::optional<double> rateUsedFraction, actualUnits;
    std::vector<double> load;
    bool isUnexpected = false;   ///< no reply that belongs to a command: the connection is of no further use
    bool isSyntaxError = false;  ///< the worker could not read what it was sent
};

WorkerReply parseWorkerReply(const resp::Reply &reply, const Settings &settings);

/// Whether what has come so far can still become a reply to an API call, with a value of `maxValueBytes` at
/// most.
bool mayBecomeCallReply(std::string_view received, std::size_t maxValueBytes);

/// A load report in the order of the site's columns, empty if the text is none.
std::vector<double> parseLoadReport(std::string_view text, const Settings &settings);

}  // namespace arrowstile
