/// \file
/// Tests of a whole gateway over real sockets: what one client or worker does, or leaves undone, must not
/// reach the calls of others.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <pthread.h>

#include "worker_stand_in.hpp"

using namespace arrowstile;
using namespace arrowstile::testing;

namespace {

/// With this many sockets a gateway has at most 8 connections to workers.
constexpr int kSocketsForEightTries = 48;

constexpr const char *kPing = "*1\r\n$4\r\nPING\r\n";

/// Ids of calls that a WorkerStandIn leaves without an answer until release().
std::vector<std::string> heldRequestIds(int count) {
    std::vector<std::string> ids;
    for (int index = 0; index < count; ++index) ids.push_back("f" + std::to_string(1000 + index));
    return ids;
}

}  // namespace

// Guards against the reply to one request being taken for the reply to an earlier one on the same connection,
// which its worker has dropped without a word.
TEST_CASE("issue 44: at the limit on connections no call gets the reply to another") {
    GatewayFixture fixture({.maxSockets = kSocketsForEightTries});
    const Socket client = fixture.makeReadyAndConnect();
    const Socket secondListener = Socket::listen();
    fixture.sendWorkerListDelta(readyWorker("v", secondListener));
    WorkerStandIn worker(fixture.workerListener, 20), secondWorker(secondListener, 20);
    const std::vector<std::string> heldIds = heldRequestIds(8);
    for (const std::string &id : heldIds) client.write(apiCall("status", 1000, id.c_str()));
    std::this_thread::sleep_for(milliseconds(50));
    const Socket otherClient = fixture.connectClient();
    otherClient.write(apiCall("status", 1000, "a1"));
    AnswerReader answers(client), otherAnswers(otherClient);
    CHECK(otherAnswers.next().starts_with("-BUSY"));
    for (const std::string &id : heldIds) {
        CAPTURE(id);
        CHECK(answers.next().starts_with("-"));
    }
}

// Guards against calls being refused, or left without an answer, because all connections are in use for a
// moment.
TEST_CASE("issue 44: a call that finds all connections in use is sent when another call has ended") {
    GatewayFixture fixture({.maxSockets = kSocketsForEightTries});
    const Socket client = fixture.makeReadyAndConnect();
    const Socket secondListener = Socket::listen();
    fixture.sendWorkerListDelta(readyWorker("v", secondListener));
    WorkerStandIn worker(fixture.workerListener, 20), secondWorker(secondListener, 20);
    std::vector<std::string> ids = heldRequestIds(8);
    ids.insert(ids.end(), {"a1", "a2", "a3"});
    for (const std::string &id : ids) client.write(apiCall("status", 1000, id.c_str()));
    std::this_thread::sleep_for(milliseconds(150));
    CHECK(worker.commandCount() + secondWorker.commandCount() == 8);
    worker.release();
    secondWorker.release();
    AnswerReader answers(client);
    for (const std::string &id : ids) {
        CAPTURE(id);
        CHECK(answers.next() == "value of " + id);
    }
}

// Guards against idle connections to some workers keeping calls from all others at the limit.
TEST_CASE("issue 44: at the limit an idle connection gives way to a call for another worker") {
    GatewayFixture fixture({.maxSockets = kSocketsForEightTries});
    const Socket client = fixture.makeReadyAndConnect();
    WorkerStandIn worker(fixture.workerListener, 20);
    const std::vector<std::string> heldIds = heldRequestIds(6);  // one worker takes no more at once
    for (const std::string &id : heldIds) client.write(apiCall("status", 1000, id.c_str()));
    std::this_thread::sleep_for(milliseconds(50));
    worker.release();
    AnswerReader answers(client);
    for (const std::string &id : heldIds) CHECK(answers.next() == "value of " + id);
    std::vector<Socket> listeners;
    std::string list;
    for (int index = 0; index < 4; ++index) {
        listeners.push_back(Socket::listen());
        list += (index > 0 ? "," : "") + readyWorker("v" + std::to_string(index), listeners.back());
    }
    fixture.sendWorkerListDelta(list);
    WorkerStandIn workers[] = {
        {listeners[0], 20}, {listeners[1], 20}, {listeners[2], 20}, {listeners[3], 20}};
    const std::vector<std::string> moreIds = heldRequestIds(4);
    std::string calls;
    for (const std::string &id : moreIds) calls += apiCall("status", 1000, ("f" + id).c_str());
    client.write(calls);
    std::this_thread::sleep_for(milliseconds(50));
    for (WorkerStandIn &each : workers) each.release();
    for (const std::string &id : moreIds) CHECK(answers.next() == "value of f" + id);
    const auto commandCount = [&] {
        std::size_t count = 0;
        for (const WorkerStandIn &each : workers) count += each.commandCount();
        return count;
    };
    CHECK(commandCount() > 2);  // two connections were free
}

// Guards against tries for a client that has closed its connection while it is not read from.
TEST_CASE("issue 44: no try begins for a client that has left while its commands wait to be read") {
    GatewayFixture fixture;
    Socket client = fixture.makeReadyAndConnect();
    std::string commands = apiCall("status", 1000);
    for (int remaining = 600; remaining > 0; --remaining) commands += kPing;
    client.write(commands);
    const Socket workerConnection = fixture.workerListener.accept();
    CHECK(workerConnection.read(kCallEnd).find("Q.ASK") != std::string::npos);
    std::this_thread::sleep_for(milliseconds(50));
    client.close();
    std::this_thread::sleep_for(milliseconds(100));
    workerConnection.write("-ERR failed\r\n");
    CHECK(workerConnection.read(kCallEnd, milliseconds(300)).find("Q.ASK") == std::string::npos);
    CHECK_FALSE(fixture.workerListener.waitReadable(milliseconds(100)));
}

// Guards against the same behind a command that is malformed, after which nothing more is read.
TEST_CASE("issue 44: no try begins for a client that has left after a bad command") {
    GatewayFixture fixture;
    Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000) + "nonsense\r\n");
    const Socket workerConnection = fixture.workerListener.accept();
    CHECK(workerConnection.read(kCallEnd).find("Q.ASK") != std::string::npos);
    client.close();
    std::this_thread::sleep_for(milliseconds(100));
    workerConnection.write("-ERR failed\r\n");
    CHECK(workerConnection.read(kCallEnd, milliseconds(300)).find("Q.ASK") == std::string::npos);
    CHECK_FALSE(fixture.workerListener.waitReadable(milliseconds(100)));
}

// Guards against commands being sent on that are read after their client has closed the connection behind
// them.
TEST_CASE("issue 44: commands that are read after their client has left are not sent on") {
    GatewayFixture fixture;
    Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    workerConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    // The connection to the worker is idle now, so that a command could be sent at once.
    std::signal(SIGUSR2, [](int) { ::usleep(150000); });
    ::pthread_kill(fixture.gatewayThread.native_handle(), SIGUSR2);
    std::this_thread::sleep_for(milliseconds(10));
    client.write(apiCall("dispatch", 1000));
    client.close();
    CHECK(workerConnection.read(kCallEnd, milliseconds(400)).find("Q.") == std::string::npos);
    CHECK_FALSE(fixture.workerListener.waitReadable(milliseconds(0)));
}

// Guards against a call that runs twice because its client has left and sends it again, with the same id.
TEST_CASE("issue 44: a call that must not run twice is not sent again when its id comes back") {
    for (const bool isAnswered : {false, true}) {
        CAPTURE(isAnswered);
        GatewayFixture fixture;
        Socket client = fixture.makeReadyAndConnect();
        const std::string call = apiCall("dispatch", 1000, isAnswered ? "c2" : "c1");
        client.write(call);
        Socket workerConnection = fixture.workerListener.accept();
        CHECK(workerConnection.read(kCallEnd).find("Q.DO") != std::string::npos);
        if (isAnswered) workerConnection.write(kProxiedReply);
        client.close();
        std::this_thread::sleep_for(milliseconds(100));
        const Socket nextClient = fixture.connectClient();
        nextClient.write(call + apiCall("dispatch", 1000, isAnswered ? "d2" : "d1"));
        CHECK(nextClient.read() == "-ERR a call with this id may have run\r\n");
        if (!isAnswered) workerConnection = fixture.workerListener.accept();
        CHECK(workerConnection.read(kCallEnd).find(isAnswered ? "d2" : "d1") != std::string::npos);
    }
}
