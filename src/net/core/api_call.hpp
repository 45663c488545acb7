#pragma once

#include <arrowstile/events.hpp>
#include <settings.hpp>
#include <string>
#include <string_view>

#include "resp.hpp"

namespace arrowstile {

/// A client's command as it is taken and as it is sent on: all but the client's patience passes unchanged.
struct ApiCall {
    CallReceived taken;
    std::string verb, customer, id, before, after,
        body;  ///< before and after: of the list, around the patience
    bool hasBody = false;

    /// The command to a worker, telling it how long this gatekeeper will wait.
    void addCommand(std::string &out, Duration patience) const;
};

/// Reads a command of API calls; the result says what is wrong, or nothing.
std::string_view readApiCall(const resp::Command &command, const Settings &site, ApiCall &call);

bool isApiCall(std::string_view verb);

}  // namespace arrowstile
