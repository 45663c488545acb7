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

// Guards against a failure of this machine being booked as one of the worker, which is then ejected, and
// against calls that use up their tries on it.
TEST_CASE("issue 29: connect() or socket() that fails for a moment ejects no worker and costs no call") {
    for (const int error : {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ENFILE}) {
        for (const char *route : {"status", "dispatch"}) {
            CAPTURE(std::string(std::strerror(error)));
            CAPTURE(route);
            GatewayFixture fixture;
            const Socket client = fixture.makeReadyAndConnect();
            const int workerPort = fixture.workerListener.localPort();
            std::atomic<bool> isFailing = true;
            const SystemCallFaults faults(
                error == ENFILE ? SystemCallHooks{.socketError = [&] { return isFailing ? error : 0; }}
                                : SystemCallHooks{.connectError = [&, workerPort](int port) {
                                      return isFailing && port == workerPort ? error : 0;
                                  }});
            client.write(apiCall(route, 1000));
            std::this_thread::sleep_for(milliseconds(300));
            isFailing = false;
            const Socket workerConnection = fixture.workerListener.accept(milliseconds(150));
            CHECK(workerConnection.read(kCallEnd).find(route) != std::string::npos);
            workerConnection.write(kProxiedReply);
            CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        }
    }
}

// Guards against calls sent by the old list while, and right after, this machine can't connect: the agent may
// have been told of changes all the time.
TEST_CASE("issue 29: while connect() fails, and when it works again, no call is sent by the old list") {
    for (const int error : {ENETUNREACH, EADDRNOTAVAIL}) {
        CAPTURE(std::string(std::strerror(error)));
        GatewayFixture fixture;
        const Socket newWorkerListener = Socket::listen();
        const Socket client = fixture.makeReadyAndConnect();
        client.write(apiCall("status", 1000));
        const Socket workerConnection = fixture.workerListener.accept();
        workerConnection.read(kCallEnd);
        workerConnection.write(kProxiedReply);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        std::atomic<bool> isFailing = true;
        const SystemCallFaults faults({.connectError = [&](int) { return isFailing ? error : 0; }});
        fixture.discoveryConnection.close();
        std::this_thread::sleep_for(milliseconds(150));
        // The connection to the worker is still open and idle.
        client.write(apiCall("status", 10000));
        CHECK(workerConnection.read(kCallEnd, milliseconds(2000)).find("Q.ASK") == std::string::npos);
        isFailing = false;
        fixture.discoveryConnection = fixture.discoveryListener.accept();
        fixture.discoveryConnection.read(kHttpHeaderEnd);
        CHECK(!fixture.workerListener.accept(milliseconds(300)).isOpen());
        fixture.sendWorkerListDelta(R"({"name":"w","status":"Terminating"},)" +
                                    readyWorker("v", newWorkerListener));
        const Socket newConnection = newWorkerListener.accept();
        CHECK(newConnection.read(kCallEnd).find("Q.ASK") != std::string::npos);
        newConnection.write(kProxiedReply);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        CHECK(!fixture.workerListener.accept(milliseconds(50)).isOpen());
    }
}

// Guards against deadlines and waits that follow the system clock when it is stepped.
TEST_CASE("issue 29: a step of the system clock ends no call early and none late") {
    for (const int stepSeconds : {3600, -3600, 7, -7}) {
        CAPTURE(stepSeconds);
        GatewayFixture fixture;
        const Socket client = fixture.makeReadyAndConnect();
        client.write(apiCall("dispatch", 700));
        const Socket workerConnection = fixture.workerListener.accept();
        workerConnection.read(kCallEnd);
        stepSystemClock(stepSeconds);
        CHECK(!client.waitReadable(milliseconds(300)));
        workerConnection.write(kProxiedReply);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        // A call without a reply ends in time.
        client.write(apiCall("dispatch", 500));
        CHECK(!client.waitReadable(milliseconds(400)));
        CHECK(client.read("\r\n", milliseconds(200)) == "-ERR failed\r\n");
        stepSystemClock(0);
    }
}
