/// \file
/// Tests of a whole gateway over real sockets while its system calls fail.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <cerrno>
#include <cstring>

#include "gateway_fixture.hpp"

using namespace arrowstile;
using namespace arrowstile::testing;

// Guards against connections that libuv accepts and closes by itself when descriptors run out: a call on them
// is lost without an answer.
TEST_CASE("issue 29: accept() that fails for a moment closes no client's connection") {
    for (const int error : {ECONNABORTED, EINTR, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO}) {
        CAPTURE(std::string(std::strerror(error)));
        GatewayFixture fixture;
        fixture.makeReadyAndConnect();
        std::atomic<int> acceptCount = 0;
        const SystemCallFaults faults({.acceptError = [&] { return ++acceptCount % 3 == 1 ? error : 0; }});
        for (int remaining = 20; remaining > 0; --remaining) {
            std::vector<Socket> clients;
            for (int index = 0; index < 3; ++index) {
                clients.push_back(fixture.connectClient());
                clients.back().write("*1\r\n$4\r\nPING\r\n");
            }
            for (const Socket &client : clients) CHECK(client.read() == "+PONG\r\n");
        }
    }
}
