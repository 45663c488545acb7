/// \file
/// Interprets the replies of workers to API calls and probes.
///
/// A reply with a value is an array of three items: the value, usage figures (`used=50,cost=3`, or null) and
/// a load report (`queue=2,util=0.5`, or null). An error reply starts with a word (`BUSY`, `SYNTAX`, `ERR`
/// and others) and may end with a load report.
#pragma once

#include <arrowstile/events.hpp>
#include <optional>
#include <settings.hpp>
#include <string_view>
#include <vector>

#include "resp.hpp"

namespace arrowstile {

/// A worker's reply to an API call.
struct WorkerReply {
    /// `answered`: a reply with a value; `overloaded`: the error BUSY; `errored`: everything else.
    Outcome outcome = Outcome::errored;
    /// For the client, with the outcome `answered`. Points into the buffer that the reply was parsed from.
    std::string_view value;
    std::optional<double> rateUsedFraction;  ///< TryEnded::rateUsedFraction, sent by workers in percent
    std::optional<double> actualUnits;       ///< TryEnded::actualUnits, if EngineSettings::hasActualUnits
    std::vector<double> load;                ///< TryEnded::load
    bool isUnexpected = false;   ///< not a reply to an API call; the connection is of no further use
    bool isSyntaxError = false;  ///< the worker couldn't parse the command
};

/// Interprets a reply. Missing or invalid figures are left out of the result and don't change its outcome.
WorkerReply parseWorkerReply(const resp::Reply &reply, const Settings &settings);

/// Whether the bytes received since the last reply can still become a reply to an API call whose value is not
/// longer than `maxValueBytes`. Lets the caller close the connection before it buffers more.
bool mayBecomeCallReply(std::string_view received, std::size_t maxValueBytes);

/// Parses a load report. Returns the values in the order of the settings' columns, or an empty vector if one
/// of them is missing or invalid.
std::vector<double> parseLoadReport(std::string_view text, const Settings &settings);

}  // namespace arrowstile
