/// \file
/// Makes system calls of the gateway fail, or runs code of a test right before or after them.
///
/// The functions of the C library that the gateway and libuv call are defined again in
/// system_call_faults.cpp. A test program that is linked with that file gets those instead of the library's.
#pragma once

#include <functional>

namespace arrowstile::testing {

/// What happens at certain system calls of the thread that is marked as the gateway's. Other threads always
/// get the real calls. Empty functions have no effect. The hooks run on the gateway's thread.
struct SystemCallHooks {
    /// Returns the errno with which accept() fails, or 0 to let it succeed.
    std::function<int()> acceptError;
    /// Returns the errno with which connect() to a port fails, or 0 to let it succeed.
    std::function<int(int port)> connectError;
    /// Returns the errno with which socket() fails, or 0 to let it succeed.
    std::function<int()> socketError;
    /// Runs before the gateway waits for input.
    std::function<void()> beforeWait;
    /// Runs after the gateway has waited for input, before it reads any.
    std::function<void()> afterWait;
};

/// Puts hooks into effect until its end. Only one may exist at a time.
class SystemCallFaults {
public:
    explicit SystemCallFaults(SystemCallHooks hooks);
    ~SystemCallFaults();
    SystemCallFaults(const SystemCallFaults &) = delete;
    SystemCallFaults &operator=(const SystemCallFaults &) = delete;
};

/// Marks the calling thread as the gateway's.
void markGatewayThread();

/// Steps the system clock by this many seconds, as far as the gateway's thread can see; 0 ends that.
void stepSystemClock(int seconds);

}  // namespace arrowstile::testing
