/// \file
/// The commands of API calls: parses what a client sends, and encodes what is sent on to a worker.
///
/// An API call is the command `Q.ASK` (idempotent routes) or `Q.DO` (all other routes) with these arguments:
/// the customer's id (16 hexadecimal digits), the request id, a list of fields `name=value,name=value`, and
/// optionally a body. The fields are:
/// - `c`: route, by name (required)
/// - `t`: plan, by name (required if the settings have plans)
/// - `d`: how long the sender waits for the answer, in ms, from 0 to one hour (required)
/// - `units`: cost of the call in units of the customer's quota
/// - `spread`, `first`: size and start of the customer's gateway subset
/// - `r`: 1 if the client repeats an earlier call
///
/// Fields with other names are ignored and passed on.
#pragma once

#include <arrowstile/events.hpp>
#include <settings.hpp>
#include <string>
#include <string_view>

#include "resp.hpp"

namespace arrowstile {

/// An API call as the client sent it. Workers receive the same command with another timeout (the value of
/// `d`); everything else is passed on unchanged.
struct ApiCall {
    CallReceived event;               ///< the decoded call; its `call` is set by PendingCallTable::add
    std::string commandName;          ///< `Q.ASK` or `Q.DO`
    std::string customerHex;          ///< the customer's id as the client wrote it
    std::string requestId;            ///< chosen by the client, 1 to 64 bytes
    std::string fieldsBeforeTimeout;  ///< the list of fields up to and including `d=`
    std::string fieldsAfterTimeout;   ///< the list of fields after the value of `d`, with the leading comma
    std::string body;
    bool hasBody = false;  ///< false: sent without a body argument; an empty body is sent as one

    /// Memory that the texts of the call take up.
    std::size_t textBytes() const;
    /// Appends the command for a worker to `out`. `timeout` is how long this gateway waits for the worker's
    /// reply; it becomes the value of `d`, in whole milliseconds, rounded down, at least 1.
    void appendCommand(std::string &out, Duration timeout) const;
};

/// Parses the command of an API call. Returns an empty view on success, otherwise the text of the error for
/// the client, a string literal; `call` is then only partly filled. `command.arguments` must not be empty.
std::string_view parseApiCall(const resp::Command &command, const Settings &settings, ApiCall &call);

/// Whether a command with this name is an API call.
bool isApiCallCommand(std::string_view commandName);

}  // namespace arrowstile
