/// \file
/// Replaces functions of the C library, see system_call_faults.hpp.
#include "system_call_faults.hpp"

#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <ctime>
#include <mutex>

namespace arrowstile::testing {
namespace {

thread_local bool isGatewayThread = false;
std::atomic<int> clockStepSeconds = 0;
std::mutex hooksMutex;
SystemCallHooks activeHooks;

/// Returns a copy of the hooks: a hook may run for long, and the test may end meanwhile.
SystemCallHooks currentHooks() {
    if (!isGatewayThread) return {};
    const std::lock_guard lock(hooksMutex);
    return activeHooks;
}

/// The function that the C library, or a sanitizer, provides under this name.
template <class Function>
Function *realFunction(const char *name) {
    return reinterpret_cast<Function *>(::dlsym(RTLD_NEXT, name));
}

/// Sets errno if `error` isn't 0. Returns whether the call has to fail.
bool fails(int error) {
    if (error != 0) errno = error;
    return error != 0;
}

}  // namespace

SystemCallFaults::SystemCallFaults(SystemCallHooks hooks) {
    const std::lock_guard lock(hooksMutex);
    activeHooks = std::move(hooks);
}

SystemCallFaults::~SystemCallFaults() {
    const std::lock_guard lock(hooksMutex);
    activeHooks = {};
}

void markGatewayThread() { isGatewayThread = true; }

void stepSystemClock(int seconds) { clockStepSeconds = seconds; }

}  // namespace arrowstile::testing

using namespace arrowstile::testing;

extern "C" {

int accept(int descriptor, sockaddr *address, socklen_t *size) {
    const auto hooks = currentHooks();
    if (hooks.acceptError && fails(hooks.acceptError())) return -1;
    return realFunction<decltype(accept)>("accept")(descriptor, address, size);
}

int accept4(int descriptor, sockaddr *address, socklen_t *size, int flags) {
    const auto hooks = currentHooks();
    if (hooks.acceptError && fails(hooks.acceptError())) return -1;
    return realFunction<decltype(accept4)>("accept4")(descriptor, address, size, flags);
}

int connect(int descriptor, const sockaddr *address, socklen_t size) {
    const auto hooks = currentHooks();
    const int port = ntohs(reinterpret_cast<const sockaddr_in *>(address)->sin_port);
    if (hooks.connectError && fails(hooks.connectError(port))) return -1;
    return realFunction<decltype(connect)>("connect")(descriptor, address, size);
}

int socket(int domain, int type, int protocol) noexcept {
    const auto hooks = currentHooks();
    if (hooks.socketError && fails(hooks.socketError())) return -1;
    return realFunction<int(int, int, int)>("socket")(domain, type, protocol);
}

int epoll_wait(int descriptor, epoll_event *events, int maxEvents, int timeoutMs) {
    const auto hooks = currentHooks();
    if (hooks.beforeWait) hooks.beforeWait();
    const int count =
        realFunction<decltype(epoll_wait)>("epoll_wait")(descriptor, events, maxEvents, timeoutMs);
    const int error = errno;
    if (hooks.afterWait) hooks.afterWait();
    errno = error;
    return count;
}

int clock_gettime(clockid_t clock, timespec *time) noexcept {
    static const auto real = realFunction<int(clockid_t, timespec *)>("clock_gettime");
    const int result = real(clock, time);
    if (clock == CLOCK_REALTIME && isGatewayThread) time->tv_sec += clockStepSeconds;
    return result;
}

}  // extern "C"
