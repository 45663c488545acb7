/// \file
/// Tests of a whole gateway over real sockets: which list of workers its calls are sent by while discovery's
/// answer is late, incomplete or missing.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "worker_stand_in.hpp"

using namespace arrowstile;
using namespace arrowstile::testing;

namespace {

/// The worker of the cached list, as one that begins to drain.
constexpr const char *kDrainingWorker = R"({"name":"w","status":"Terminating"})";

/// Plays a worker for one call: takes it from a new connection and replies. Returns whether a call came.
bool answerNextCall(const Socket &workerListener) {
    const Socket connection = workerListener.accept();
    if (connection.read(kCallEnd).find("Q.ASK") == std::string::npos) return false;
    connection.write(kProxiedReply);
    return true;
}

/// Plays the agent after an answer that took long to arrive: the gateway asks for the changes since, which
/// are due at once, and there are none.
void answerConfirmation(GatewayFixture &fixture) {
    CHECK(fixture.discoveryConnection.read(kHttpHeaderEnd).find("since=2&timeout_ms=1 ") !=
          std::string::npos);
    fixture.sendWorkerListDelta("");
}

}  // namespace

// Guards against calls sent by the list of an earlier run while discovery's first answer is on its way: by
// then the agent may know that those workers drain, and that counts as announced.
TEST_CASE("issue 29: calls that come before discovery's first answer are sent by that answer") {
    GatewayFixture fixture;
    const Socket newWorkerListener = Socket::listen();
    const Socket client = fixture.connectClient();
    client.write(apiCall("status", 2000));
    CHECK(!fixture.workerListener.accept(milliseconds(600)).isOpen());
    fixture.sendWorkerListDelta(std::string(kDrainingWorker) + "," + readyWorker("v", newWorkerListener));
    CHECK(answerNextCall(newWorkerListener));
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(!fixture.workerListener.accept(milliseconds(50)).isOpen());
}

// Guards against the opposite: a gateway that serves nobody because discovery is down. A restarted gateway
// has to be ready within 6 s.
TEST_CASE("issue 29: while discovery stays silent, the cached list serves") {
    GatewayFixture fixture;
    const auto startedAt = std::chrono::steady_clock::now();
    const Socket client = fixture.connectClient();
    std::string answer;
    while (answer != "+PONG\r\n" && std::chrono::steady_clock::now() - startedAt < milliseconds(6000)) {
        client.write("*1\r\n$4\r\nPING\r\n");
        answer = client.read();
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(answer == "+PONG\r\n");
    client.write(apiCall("status", 1000));
    CHECK(answerNextCall(fixture.workerListener));
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
}

// Guards against calls sent by the old list while a change of it is only half read.
TEST_CASE("issue 29: calls wait while discovery's answer is incomplete, and are sent by the whole of it") {
    GatewayFixture fixture;
    const Socket newWorkerListener = Socket::listen();
    const Socket client = fixture.makeReadyAndConnect();
    const std::string response =
        workerListResponse(std::string(kDrainingWorker) + "," + readyWorker("v", newWorkerListener));
    fixture.discoveryConnection.write(response.substr(0, response.size() / 2));
    std::this_thread::sleep_for(milliseconds(20));
    client.write(apiCall("status", 2000));
    CHECK(!fixture.workerListener.accept(milliseconds(500)).isOpen());
    fixture.discoveryConnection.write(response.substr(response.size() / 2));
    answerConfirmation(fixture);
    CHECK(answerNextCall(newWorkerListener));
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
}

// Guards against calls sent by the old list after contact to discovery was lost: what the agent gets counts
// as announced, whether or not a watch is open.
TEST_CASE("issue 29: after a broken watch calls wait for the answer on the new connection") {
    GatewayFixture fixture;
    const Socket newWorkerListener = Socket::listen();
    const Socket client = fixture.makeReadyAndConnect();
    fixture.discoveryConnection.close();
    fixture.discoveryConnection = fixture.discoveryListener.accept();
    fixture.discoveryConnection.read(kHttpHeaderEnd);
    std::this_thread::sleep_for(milliseconds(250));  // the grace of the usual deployment
    client.write(apiCall("status", 2000));
    CHECK(!fixture.workerListener.accept(milliseconds(300)).isOpen());
    fixture.sendWorkerListDelta(std::string(kDrainingWorker) + "," + readyWorker("v", newWorkerListener));
    CHECK(answerNextCall(newWorkerListener));
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
}

// Guards against time-outs on the whole of a transfer: with thousands of workers, or a slow agent, no list
// ever arrived in time and each attempt began anew.
TEST_CASE("issue 29: a first list that takes 3 s to arrive is read whole, on one connection") {
    for (const bool isPiecewise : {true, false}) {
        CAPTURE(isPiecewise);
        GatewayFixture fixture({.hasCachedList = false});
        const std::string response =
            workerListResponse(readyWorker("w", fixture.workerListener), /*isSnapshot=*/true);
        constexpr std::size_t kPieceCount = 10;
        for (std::size_t piece = 0; piece < kPieceCount; ++piece) {
            std::this_thread::sleep_for(milliseconds(300));
            if (!isPiecewise) continue;
            const std::size_t begin = piece * response.size() / kPieceCount;
            const std::size_t end = (piece + 1) * response.size() / kPieceCount;
            fixture.discoveryConnection.write(response.substr(begin, end - begin));
        }
        if (!isPiecewise) fixture.discoveryConnection.write(response);
        if (isPiecewise) {
            answerConfirmation(fixture);
        } else {
            CHECK(fixture.discoveryConnection.read(kHttpHeaderEnd).find("since=2") != std::string::npos);
        }
        const Socket client = fixture.connectClient();
        client.write("*1\r\n$4\r\nPING\r\n" + apiCall("status", 1000));
        CHECK(client.read() == "+PONG\r\n");
        CHECK(answerNextCall(fixture.workerListener));
    }
}

// Guards against calls that wait for a slow answer and are then sent by it, though the agent has learned of
// more changes since the answer began.
TEST_CASE("issue 29: after an answer that took long to arrive, calls wait until nothing newer is known") {
    GatewayFixture fixture;
    const Socket newWorkerListener = Socket::listen();
    const Socket client = fixture.makeReadyAndConnect();
    const std::string response = workerListResponse(readyWorker("v", newWorkerListener));
    fixture.discoveryConnection.write(response.substr(0, response.size() / 2));
    client.write(apiCall("status", 3000));
    std::this_thread::sleep_for(milliseconds(500));
    fixture.discoveryConnection.write(response.substr(response.size() / 2));
    fixture.discoveryConnection.read(kHttpHeaderEnd);
    CHECK(!fixture.workerListener.accept(milliseconds(100)).isOpen());
    CHECK(!newWorkerListener.accept(milliseconds(100)).isOpen());
    // While the first answer was on its way, the other worker began to drain.
    fixture.sendWorkerListDelta(kDrainingWorker);
    CHECK(answerNextCall(newWorkerListener));
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(!fixture.workerListener.accept(milliseconds(50)).isOpen());
}

// Guards against the opposite: an answer that stops halfway must not end contact to discovery for good.
TEST_CASE("issue 29: an answer that stops halfway is given up, and discovery asked again") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    fixture.discoveryConnection.write("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{");
    fixture.discoveryConnection = fixture.discoveryListener.accept(milliseconds(6000));
    CHECK(fixture.discoveryConnection.read(kHttpHeaderEnd).find("since=2") != std::string::npos);
    client.write(apiCall("status", 1000));
    CHECK(answerNextCall(fixture.workerListener));
}

/// Runs a function once, in the gateway's thread, before it waits for the connection to a port to come up.
class OnConnecting {
public:
    OnConnecting(int port, std::function<void()> function)
        : faults_({.connectError =
                       [this, port](int connectedPort) {
                           isConnecting_ = isConnecting_ || connectedPort == port;
                           return 0;
                       },
                   .beforeWait =
                       [this, function = std::move(function)] {
                           if (isConnecting_ && !std::exchange(hasRun_, true)) function();
                       }}) {}

private:
    bool isConnecting_ = false;
    bool hasRun_ = false;
    SystemCallFaults faults_;
};

// Guards against a try that was chosen by the old list and waits for its connection: the change is read in
// the same iteration of the event loop in which the connection comes up, and before the first byte is
// written.
TEST_CASE("issue 29: a try whose connection comes up while its worker begins to drain is sent elsewhere") {
    GatewayFixture fixture;
    const Socket newWorkerListener = Socket::listen();
    const Socket client = fixture.makeReadyAndConnect();
    const OnConnecting onConnecting(fixture.workerListener.localPort(), [&] {
        fixture.discoveryConnection.write(
            workerListResponse(std::string(kDrainingWorker) + "," + readyWorker("v", newWorkerListener)));
        std::this_thread::sleep_for(milliseconds(400));  // longer than the grace of the usual deployment
    });
    client.write(apiCall("dispatch", 2000));
    const Socket newWorkerConnection = newWorkerListener.accept();
    CHECK(newWorkerConnection.read(kCallEnd).find("c=dispatch") != std::string::npos);
    newWorkerConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(fixture.workerListener.accept().read(kCallEnd, milliseconds(100)).find("dispatch") ==
          std::string::npos);
}

// Guards against a try for the old process or address of a worker, whose connection comes up after the
// change.
TEST_CASE("issue 29: a try whose connection comes up after its worker has moved goes to the new address") {
    GatewayFixture fixture;
    const Socket newListener = Socket::listen();
    const Socket client = fixture.makeReadyAndConnect();
    const OnConnecting onConnecting(fixture.workerListener.localPort(), [&] {
        fixture.discoveryConnection.write(workerListResponse(readyWorker("w", newListener)));
        std::this_thread::sleep_for(milliseconds(400));
    });
    client.write(apiCall("dispatch", 2000));
    const Socket newConnection = newListener.accept();
    CHECK(newConnection.read(kCallEnd).find("c=dispatch") != std::string::npos);
    newConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
}

// Guards against a worker that is told a deadline later than the client's: the command was composed when the
// try was chosen, and its connection came up later. A slack of 150 ms is allowed.
TEST_CASE("issue 29: the time that a worker is told is what the client has left when the call is written") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    const OnConnecting onConnecting(fixture.workerListener.localPort(),
                                    [] { std::this_thread::sleep_for(milliseconds(400)); });
    client.write(apiCall("dispatch", 1000));
    const std::string command = fixture.workerListener.accept().read(kCallEnd);
    const std::size_t position = command.find(",d=");
    REQUIRE(position != std::string::npos);
    CHECK(std::stoi(command.substr(position + 3)) <= 1000 - 400 + 150);
}

// Guards against a new process at the address of a worker that has gone being taken for that worker as long
// as the list names both: a cold process would get what a warm one may get.
TEST_CASE("issue 44: an address belongs to the worker that started there last") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    const auto nowMs =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    const std::string newWorker = readyWorker("n", fixture.workerListener);
    fixture.sendWorkerListDelta(newWorker.substr(0, newWorker.size() - 1) +
                                ",\"since_ms\":" + std::to_string(nowMs.count()) + "}");
    WorkerStandIn worker(fixture.workerListener, 20);
    for (const char *id : {"f1", "f2", "f3"}) client.write(apiCall("status", 1000, id));
    std::this_thread::sleep_for(milliseconds(100));
    // A cold worker may have one try of this gateway in flight.
    CHECK(worker.commandCount() == 1);
}

// Guards against changes being missed for good: the versions of another discovery process, at the address of
// the one before, mean other lists.
TEST_CASE("issue 44: a discovery process that was replaced is asked for its whole list") {
    GatewayFixture fixture;
    fixture.makeReadyAndConnect();
    const std::string body = R"({"index":1,"snapshot":false,"endpoints":[]})";
    fixture.discoveryConnection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                      "\r\n\r\n" + body);
    const std::string request = fixture.discoveryConnection.read(kHttpHeaderEnd);
    CHECK(request.find("GET /api/targets HTTP") != std::string::npos);
}
