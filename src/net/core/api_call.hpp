#pragma once

#include <arrowstile/events.hpp>
#include <settings.hpp>
#include <string>
#include <string_view>

#include "resp.hpp"

namespace arrowstile {

/// A client's command as it is taken and as it is sent on: all but the client's timeout passes unchanged.
struct ApiCall {
    CallReceived event;
    std::string commandName, customerHex, requestId, fieldsBeforeTimeout, fieldsAfterTimeout,
        body;  ///< fieldsBeforeTimeout and fieldsAfterTimeout: of the list, around the timeout
    bool hasBody = false;

    /// The command to a worker, telling it how long this gatekeeper will wait.
    void appendCommand(std::string &out, Duration timeout) const;
};

/// Reads a command of API calls; the result says what is wrong, or nothing.
std::string_view parseApiCall(const resp::Command &command, const Settings &settings, ApiCall &call);

bool isApiCallCommand(std::string_view commandName);

}  // namespace arrowstile
