/// \file
/// What the connections to workers have to know of API calls.
#pragma once

#include <arrowstile/ids.hpp>
#include <arrowstile/request_start.hpp>
#include <string_view>

#include "core/api_call.hpp"

namespace arrowstile {

/// The API calls that await a final answer, as the connections to workers see them.
class CallDirectory {
public:
    /// Returns a call; nullptr if it has its final answer or its client is known to have left. The pointer is
    /// valid until the call ends.
    virtual const ApiCall *findCall(CallId call) = 0;
    /// Asks the system whether the client of a call is still there. Ends the calls of a client that has left.
    virtual ClientPresence clientPresence(CallId call) = 0;
    /// A request with this call starts: from now on a worker may run it.
    virtual void recordStart(CallId call) = 0;
    /// Sends the value of a worker to the client and ends the call.
    virtual void deliverValue(CallId call, std::string_view value) = 0;

protected:
    ~CallDirectory() = default;
};

}  // namespace arrowstile
