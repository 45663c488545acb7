/// \file
/// Tests of a whole gateway over real sockets: answers, limits, the counter, planned stops.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "gateway_fixture.hpp"

using namespace arrowstile;
using namespace arrowstile::testing;

TEST_CASE("a call gets one final answer, decided by the worker's reply or by the end of its connection") {
    struct Row {
        const char *name, *route, *workerReply, *clientAnswer;
        bool workerCloses;
        int tryCount;
    };
    const Row rows[] = {
        {"reply to a non-idempotent call", "dispatch", kProxiedReply.c_str(), "$2\r\nhi\r\n", false, 1},
        {"error for a non-idempotent call", "dispatch", "-ERR failed\r\n", "-ERR failed\r\n", false, 1},
        {"connection closed, non-idempotent call", "dispatch", "", "-ERR failed\r\n", true, 1},
        {"half a reply, then closed", "dispatch", "*3\r\n$2\r\nh", "-ERR failed\r\n", true, 1},
        {"text that is not RESP, without a line end", "dispatch", "nonsense", "-ERR failed\r\n", false, 1},
        {"reply of another kind than a call's", "dispatch", "+OK\r\n", "-ERR failed\r\n", false, 1},
        {"value with a length of 3 GB", "dispatch", "*3\r\n$3000000000\r\nxx", "-ERR failed\r\n", false, 1},
        {"array of 1000000000 items", "dispatch", "*1000000000\r\n", "-ERR failed\r\n", false, 1},
        {"error for an idempotent call", "status", "-ERR failed\r\n", "$2\r\nhi\r\n", false, 2},
        {"connection closed, idempotent call", "status", "", "$2\r\nhi\r\n", true, 2},
        {"rejected without effect, non-idempotent call", "dispatch", "-BUSY\r\n", "$2\r\nhi\r\n", false, 2},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        GatewayFixture fixture;
        const Socket client = fixture.makeReadyAndConnect();
        client.write(apiCall(row.route, 1000) + "*1\r\n$4\r\nPING\r\n");
        Socket workerConnection = fixture.workerListener.accept();
        const std::string forwardedCall = workerConnection.read(kCallEnd);
        CHECK(forwardedCall.find("c=" + std::string(row.route)) != std::string::npos);
        workerConnection.write(row.workerReply);
        if (row.workerCloses) workerConnection.close();
        if (row.tryCount == 2) {
            if (row.workerCloses) workerConnection = fixture.workerListener.accept();
            CHECK(workerConnection.read(kCallEnd).find("c=" + std::string(row.route)) != std::string::npos);
            workerConnection.write(kProxiedReply);
        }
        // The answer to the PING follows directly: nothing else was sent for the call.
        CHECK(client.read("PONG\r\n") == std::string(row.clientAnswer) + "+PONG\r\n");
    }
}

TEST_CASE("a malformed reply is a failed try: its connection is closed and an idempotent call sent again") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket firstConnection = fixture.workerListener.accept();
    firstConnection.read(kCallEnd);
    firstConnection.write("xxxxxxxx");
    CHECK(firstConnection.read(kUntilClosed) == "<closed>");
    const Socket secondConnection = fixture.workerListener.accept();
    CHECK(secondConnection.read(kCallEnd).find("c=status") != std::string::npos);
    secondConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
}

// Bytes that a worker sends after a reply would otherwise be taken for the reply to the next call on that
// connection. They come together with the reply, or 20 ms later on the idle connection.
TEST_CASE("bytes after a complete reply are passed to no client, and their connection is closed") {
    for (const std::string &extraBytes : {kProxiedReply, std::string("noise")}) {
        for (const int delayMs : {0, 20}) {
            GatewayFixture fixture;
            const Socket client = fixture.makeReadyAndConnect();
            client.write(apiCall("status", 1000));
            const Socket firstConnection = fixture.workerListener.accept();
            firstConnection.read(kCallEnd);
            firstConnection.write(delayMs > 0 ? kProxiedReply : kProxiedReply + extraBytes);
            CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
            if (delayMs > 0) firstConnection.write(extraBytes);
            client.write(apiCall("status", 1000));
            const Socket secondConnection = fixture.workerListener.accept();
            secondConnection.read(kCallEnd);
            secondConnection.write("*3\r\n$3\r\nown\r\n$-1\r\n$-1\r\n");
            CHECK(client.read("own\r\n") == "$3\r\nown\r\n");
            CHECK(firstConnection.read(kUntilClosed) == "<closed>");
        }
    }
}

// With 32 MB of memory a reply's value may have 512 KiB, and all incomplete replies together 3.2 MiB.
TEST_CASE("large values are forwarded; beyond the memory limit the longest incomplete reply is dropped") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    const auto incompleteReply = [](std::size_t statedBytes, std::size_t sentBytes) {
        return "*3\r\n$" + std::to_string(statedBytes) + "\r\n" + std::string(sentBytes, 'v');
    };
    client.write(apiCall("status", 1000));
    const Socket firstConnection = fixture.workerListener.accept();
    firstConnection.read(kCallEnd);
    // The value is three bytes longer than stated.
    firstConnection.write(incompleteReply(370000, 370000) + "end\r\n$-1\r\n$-1\r\n");
    CHECK(firstConnection.read(kUntilClosed) == "<closed>");
    Socket secondConnection = fixture.workerListener.accept();
    secondConnection.read(kCallEnd);
    secondConnection.write(incompleteReply(370000, 370000) + "\r\n$-1\r\n$-1\r\n");
    // Nine bytes of "$370000\r\n" before the value, two of "\r\n" after it.
    CHECK(client.read("v\r\n").size() == 9 + 370000 + 2);

    secondConnection.close();
    // One worker gets at most six tries at once at first; the eight below need a second one, which is listed
    // under the same address.
    const std::string workerPort = std::to_string(fixture.workerListener.localPort());
    fixture.sendWorkerListDelta(R"({"name":"v","address":"127.0.0.1:)" + workerPort +
                                R"(","status":"Ready"})");
    std::vector<Socket> clients, workerConnections;
    for (std::size_t number = 0; number < 8; ++number) {
        clients.push_back(fixture.connectClient());
        clients.back().write(apiCall("dispatch", 3000));
        workerConnections.push_back(fixture.workerListener.accept());
        const Socket &workerConnection = workerConnections.back();
        workerConnection.read(kCallEnd);
        workerConnection.write(incompleteReply(500000, number == 3 ? 499000 : 460000));
    }
    CHECK(workerConnections[3].read(kUntilClosed) == "<closed>");
    CHECK(clients[3].read() == "-ERR failed\r\n");
    workerConnections[4].write(std::string(40000, 'v') + "\r\n$-1\r\n$-1\r\n");
    CHECK(clients[4].read("v\r\n").size() == 9 + 500000 + 2);
}

TEST_CASE("a try without a reply ends within the client timeout, and its worker connection is closed") {
    for (const char *route : {"status", "dispatch"}) {
        CAPTURE(route);
        GatewayFixture fixture;
        const Socket client = fixture.makeReadyAndConnect();
        const auto sentAt = std::chrono::steady_clock::now();
        client.write(apiCall(route, 300));
        const Socket workerConnection = fixture.workerListener.accept();
        workerConnection.read(kCallEnd);
        CHECK(client.read().substr(0, 5) == (std::string_view(route) == "status" ? "-BUSY" : "-ERR "));
        // The client timeout is 300 ms.
        CHECK(std::chrono::steady_clock::now() - sentAt < milliseconds(360));
        CHECK(workerConnection.read(kUntilClosed) == "<closed>");
    }
}

TEST_CASE("when a client disconnects, its try is cancelled by closing the worker connection") {
    GatewayFixture fixture;
    Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    client.close();
    CHECK(workerConnection.read(kUntilClosed, milliseconds(500)) == "<closed>");
}

TEST_CASE("answers on a client connection keep the order of its commands") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000) + apiCall("status", 1000) + "*1\r\n$4\r\nPING\r\n");
    const Socket firstConnection = fixture.workerListener.accept();
    const Socket secondConnection = fixture.workerListener.accept();
    firstConnection.read(kCallEnd);
    secondConnection.read(kCallEnd);
    secondConnection.write("*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n");
    CHECK(!client.waitReadable(milliseconds(100)));
    firstConnection.write("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n");
    CHECK(client.read("PONG\r\n") == "$3\r\none\r\n$3\r\ntwo\r\n+PONG\r\n");
}

TEST_CASE("a draining worker gets no new call, on its old connection or on a new one") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    // The worker begins to drain while it runs the first call, which still gets its answer.
    fixture.sendWorkerListDelta(R"({"name":"w","status":"Terminating"})");
    workerConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(workerConnection.read(kUntilClosed) == "<closed>");
    client.write(apiCall("status", 1000));
    CHECK(client.read().substr(0, 5) == "-BUSY");
    CHECK(!fixture.workerListener.accept(milliseconds(100)).isOpen());
}

// A call that is sent while the worker's machine closes an idle connection fails, though it may have run. The
// gateway therefore closes idle connections first: after 300 ms, half of the worker's idle timeout
// (`keepaliveMs`), checked every 500 ms.
TEST_CASE("the gateway closes an idle worker connection by itself") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    workerConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(workerConnection.read(kUntilClosed, milliseconds(1500)) == "<closed>");
}

// The settings allow connections to idle for 300 ms. The worker closes one after 120 ms, which lowers the
// limit to 60 ms: the next connection, idle for 90 ms, is closed instead of being used again.
TEST_CASE("after a worker closed an idle connection, others may idle for half of that time only") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    const auto answerCall = [&](const Socket &workerConnection) {
        workerConnection.read(kCallEnd);
        workerConnection.write(kProxiedReply);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    };
    client.write(apiCall("status", 1000));
    Socket firstConnection = fixture.workerListener.accept();
    answerCall(firstConnection);
    std::this_thread::sleep_for(milliseconds(120));
    firstConnection.close();
    std::this_thread::sleep_for(milliseconds(20));
    client.write(apiCall("status", 1000));
    const Socket secondConnection = fixture.workerListener.accept();
    answerCall(secondConnection);
    std::this_thread::sleep_for(milliseconds(90));
    client.write(apiCall("status", 1000));
    answerCall(fixture.workerListener.accept());
    CHECK(secondConnection.read(kUntilClosed) == "<closed>");
}

TEST_CASE("an admitted call is added to the counter, and an addition without a response is not repeated") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket workerConnection = fixture.workerListener.accept();
    const Socket counterConnection = fixture.counterListener.accept();
    CHECK(counterConnection.read(kHttpHeaderEnd).find("?delta=1&life_ms=60000 HTTP/1.1\r\n") !=
          std::string::npos);
    workerConnection.read(kCallEnd);
    workerConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(!counterConnection.waitReadable(milliseconds(300)));
    CHECK(!fixture.counterListener.accept(milliseconds(50)).isOpen());
}

// A response without a usable number still means that the amount was added, so adding it again would count
// the call twice. A 503 means that nothing was added: the request is sent again.
TEST_CASE("a counter response without a number: counted once, connection closed, customer still served") {
    const auto okResponse = [](const std::string &body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    struct Row {
        std::string response;
        bool keepsConnection, repeatsRequest;  // what the gateway does then
    };
    const Row rows[] = {
        {okResponse("nan"), false, false},
        {okResponse("1e999"), false, false},
        {okResponse(""), false, false},
        {okResponse("1x"), false, false},
        {"noise, no HTTP\r\n\r\n", false, false},
        {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", false, false},
        {okResponse("1\n"), true, false},
        {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse("1"), true, false},
        {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.response);
        GatewayFixture fixture;
        const Socket client = fixture.makeReadyAndConnect();
        client.write(apiCall("status", 1000));
        const Socket workerConnection = fixture.workerListener.accept();
        const Socket counterConnection = fixture.counterListener.accept();
        const std::string addRequest = counterConnection.read(kHttpHeaderEnd);
        counterConnection.write(row.response);
        if (row.repeatsRequest) CHECK(counterConnection.read(kHttpHeaderEnd) == addRequest);
        if (!row.keepsConnection) CHECK(counterConnection.read(kUntilClosed) == "<closed>");
        workerConnection.read(kCallEnd);
        workerConnection.write(kProxiedReply);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        // The customer's next call is admitted too.
        client.write(apiCall("status", 1000));
        CHECK(workerConnection.read(kCallEnd).find("Q.ASK") != std::string::npos);
        workerConnection.write(kProxiedReply);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        if (row.repeatsRequest) continue;
        // Its addition is for one call alone: the first call's is not repeated with it.
        const Socket newConnection = row.keepsConnection ? Socket() : fixture.counterListener.accept();
        CHECK((row.keepsConnection ? counterConnection : newConnection)
                  .read(kHttpHeaderEnd)
                  .find("?delta=1&") != std::string::npos);
    }
}

TEST_CASE("a late 503 of the counter is still read: the amount is added again, once") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket counterConnection = fixture.counterListener.accept();
    const std::string addRequest = counterConnection.read(kHttpHeaderEnd);
    std::this_thread::sleep_for(milliseconds(100));  // twice the counter's timeout (`countLimitMs`)
    counterConnection.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    CHECK(counterConnection.read(kHttpHeaderEnd) == addRequest);
    counterConnection.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    CHECK(!counterConnection.waitReadable(milliseconds(100)));
}

TEST_CASE("a reload moves discovery and counter; requests in flight end on their old connections, once") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const Socket workerConnection = fixture.workerListener.accept();
    const Socket counterConnection = fixture.counterListener.accept();
    counterConnection.read(kHttpHeaderEnd);
    workerConnection.read(kCallEnd);
    // This reload finds no start document: it fails and changes nothing.
    ::kill(::getpid(), SIGHUP);
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(!fixture.discoveryConnection.waitReadable(milliseconds(0)));
    const Socket newDiscoveryListener = Socket::listen();
    const Socket newCounterListener = Socket::listen();
    fixture.reloadedDocument = fixture.startDocument;
    fixture.reloadedDocument->discoveryAddress.port = newDiscoveryListener.localPort();
    fixture.reloadedDocument->counterAddress->port = newCounterListener.localPort();
    ::kill(::getpid(), SIGHUP);
    const Socket newDiscoveryConnection = newDiscoveryListener.accept();
    CHECK(newDiscoveryConnection.read(kHttpHeaderEnd).starts_with("GET /api/targets HTTP"));
    CHECK(fixture.discoveryConnection.read(kUntilClosed) == "<closed>");
    // Half a response does not end the request: nothing goes to the new counter yet.
    counterConnection.write("HTTP/1.1 200 OK\r\nContent-Le");
    CHECK(!newCounterListener.accept(milliseconds(30)).isOpen());
    counterConnection.write("ngth: 1\r\n\r\n1");
    CHECK(counterConnection.read(kUntilClosed) == "<closed>");
    workerConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    client.write(apiCall("status", 1000));
    CHECK(newCounterListener.accept().read(kHttpHeaderEnd).find("?delta=1&") != std::string::npos);
    workerConnection.read(kCallEnd);
    // A planned stop works after a reload.
    fixture.beginStop();
    workerConnection.write(kProxiedReply);
    CHECK(client.read(kUntilClosed) == "$2\r\nhi\r\n<closed>");
    fixture.stopAndJoin();
    CHECK(fixture.logOutput.str().find("error reload: no document; all stays as it was\n") !=
          std::string::npos);
}

// A signal handler suspends the gateway's thread for 700 ms, as if the process had been suspended. 100 ms
// after that began, the reply to a call with a timeout of 500 ms arrives, and a new call with a timeout of
// 300 ms; both timeouts have passed when the thread goes on.
TEST_CASE("after a suspension, a reply that came in time counts and an expired call is not sent") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("dispatch", 500));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    std::signal(SIGUSR2, [](int) { ::usleep(700000); });
    ::pthread_kill(fixture.gatewayThread.native_handle(), SIGUSR2);
    std::this_thread::sleep_for(milliseconds(100));
    workerConnection.write(kProxiedReply);
    const Socket expiredClient = fixture.connectClient();
    expiredClient.write(apiCall("dispatch", 300));
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(expiredClient.read().substr(0, 5) == "-BUSY");
    CHECK(!workerConnection.waitReadable(milliseconds(50)));
}

// A status of 4xx may mean that discovery does not have the version that the gateway asks from; then only
// the whole list helps.
TEST_CASE("after a bad response discovery is asked again, for the whole list if the status was 4xx") {
    struct Row {
        const char *response, *nextRequest;
    };
    const Row rows[] = {
        {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", "GET /api/targets HTTP/1.1"},
        {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "GET /api/targets?since=1&"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "GET /api/targets?since=1&"},
        {"nonsense\r\n\r\n", "GET /api/targets?since=1&"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.response);
        GatewayFixture fixture;
        fixture.discoveryConnection.write(row.response);
        fixture.discoveryConnection = fixture.discoveryListener.accept();
        CHECK(fixture.discoveryConnection.read(kHttpHeaderEnd).starts_with(row.nextRequest));
        const Socket client = fixture.makeReadyAndConnect();
        client.write(apiCall("status", 1000));
        // The cached list that the gateway started with is still in use.
        CHECK(fixture.workerListener.accept().isOpen());
    }
}

// The gateway stops reading a connection on which too many commands wait for an answer. Commands that are in
// its buffer by then have to be processed when reading goes on, although no further bytes arrive.
TEST_CASE("commands in the buffer of a connection that was not read for a while are all answered") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    std::string commands, expectedAnswers;
    for (int remaining = 3000; remaining > 0; --remaining) {
        commands += "*1\r\n$4\r\nPING\r\n";
        expectedAnswers += "+PONG\r\n";
    }
    client.write(commands);
    std::string received;
    while (received.size() < expectedAnswers.size() && client.waitReadable(milliseconds(1000)))
        received += client.read("PONG\r\n");
    CHECK(received == expectedAnswers);
}

TEST_CASE("a client that reads slowly delays no other client and still gets every answer") {
    GatewayFixture fixture;
    const Socket otherClient = fixture.makeReadyAndConnect();
    const Socket slowClient = fixture.connectClient();
    constexpr std::size_t commandCount = 20000;
    std::thread writer([&] {
        std::string commands;
        for (std::size_t remaining = commandCount; remaining > 0; --remaining)
            commands += "*1\r\n$4\r\nINFO\r\n";
        slowClient.write(commands);  // blocks once the gateway has stopped reading
    });
    std::this_thread::sleep_for(milliseconds(300));
    otherClient.write("*1\r\n$4\r\nPING\r\n");
    CHECK(otherClient.read() == "+PONG\r\n");
    std::string received;
    while (slowClient.waitReadable(milliseconds(1000))) received += slowClient.read("\n");
    writer.join();
    // The name of this metric occurs once in each answer to INFO.
    std::size_t answerCount = 0;
    for (std::size_t position = 0;
         (position = received.find("peer_messages_out", position)) != std::string::npos; ++position)
        ++answerCount;
    CHECK(answerCount == commandCount);
}

// A connection on which no command has come, or only a part of one, is closed after 2 s; this is checked
// every 250 ms. A malformed command gets an error and a close at once, without waiting for the rest of it.
TEST_CASE("malformed commands get an error, and clients that send nothing or half a command are closed") {
    struct Row {
        const char *name;
        std::string sentBytes;
        const char *answer;
        Duration minDelay, maxDelay;
    };
    const std::string halfCommand = "*4\r\n$5\r\nQ.ASK\r\n$16\r\n0000";
    const Row rows[] = {
        {"nothing sent", "", "<closed>", milliseconds(1500), milliseconds(2800)},
        {"half a command", halfCommand, "<closed>", milliseconds(1500), milliseconds(2800)},
        {"argument with a length of 60 MB",
         "*2\r\n$60000000\r\nxxxx",
         "-ERR Protocol error\r\n<closed>",
         {},
         milliseconds(600)},
        {"negative length", "*2\r\n$-5\r\n", "-ERR Protocol error\r\n<closed>", {}, milliseconds(600)},
        {"text that is not RESP",
         std::string(100000, 'x'),
         "-ERR Protocol error\r\n<closed>",
         {},
         milliseconds(600)},
    };
    GatewayFixture fixture;
    fixture.makeReadyAndConnect();
    std::vector<Socket> clients;
    const auto startedAt = std::chrono::steady_clock::now();
    for (const Row &row : rows)
        (clients.push_back(fixture.connectClient()), clients.back().write(row.sentBytes));
    const Socket pingedClient = fixture.connectClient();
    pingedClient.write("*1\r\n$4\r\nPING\r\n" + halfCommand);
    // The rows with an error first: they are due earlier.
    for (const std::size_t index : {2u, 3u, 4u, 0u, 1u}) {
        CAPTURE(rows[index].name);
        // The first read() may end at the error's line end; the close then follows in a second one.
        std::string received = clients[index].read("\r\n");
        if (!received.ends_with("<closed>")) received += clients[index].read("\r\n");
        CHECK(received == rows[index].answer);
        const auto delay = std::chrono::steady_clock::now() - startedAt;
        CHECK((delay >= rows[index].minDelay && delay <= rows[index].maxDelay));
    }
    // Half a command also ends the connection of a client that has sent a good command before.
    CHECK(pingedClient.read(kUntilClosed) == "+PONG\r\n<closed>");
}

TEST_CASE("a call with the request id of a pending call gets an error, and that call is not affected") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    const Socket otherClient = fixture.connectClient();
    client.write(apiCall("dispatch", 1000, "77"));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    otherClient.write(apiCall("dispatch", 1000, "77"));
    CHECK(otherClient.read() == "-ERR this id is open\r\n");
    CHECK(!fixture.workerListener.accept(milliseconds(50)).isOpen());
    workerConnection.write(kProxiedReply);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    // After the answer the id may be used again.
    otherClient.write(apiCall("dispatch", 1000, "77"));
    CHECK(workerConnection.read(kCallEnd).find("c=dispatch") != std::string::npos);
}

/// Plays the worker for the one call that `client` has written: takes it from `workerConnection`, or from a
/// new connection that is kept there if the old one is closed, and replies. Returns whether the client gets
/// that reply.
bool answerWrittenCall(const GatewayFixture &fixture, Socket &workerConnection, const Socket &client) {
    if (!workerConnection.isOpen() || workerConnection.read(kCallEnd).ends_with("<closed>")) {
        workerConnection = fixture.workerListener.accept();
        workerConnection.read(kCallEnd);
    }
    workerConnection.write(kProxiedReply);
    return client.read("hi\r\n") == "$2\r\nhi\r\n";
}

/// Writes a call for `client`, then does the same as answerWrittenCall().
bool sendAndAnswerCall(const GatewayFixture &fixture, Socket &workerConnection, const Socket &client) {
    client.write(apiCall("status", 1000));
    return answerWrittenCall(fixture, workerConnection, client);
}

// Clients that never send a call could otherwise use up the sockets. With 96 sockets the gateway
// takes at most 39 client connections, at most 13 of them from clients that have sent no call yet.
TEST_CASE("many clients that send nothing, or PING only, take no connection from clients that send calls") {
    for (const std::string sentText : {"", "*1\r\n$4\r\nPING\r\n"}) {
        CAPTURE(sentText);
        GatewayFixture fixture({.maxSockets = 96});
        const Socket firstClient = fixture.makeReadyAndConnect();
        Socket workerConnection;
        std::vector<Socket> callingClients, otherClients;
        for (int remaining = 10; remaining > 0; --remaining)
            callingClients.push_back(fixture.connectClient());
        for (const Socket &client : callingClients)
            CHECK(sendAndAnswerCall(fixture, workerConnection, client));
        for (int remaining = 200; remaining > 0; --remaining) {
            otherClients.push_back(fixture.connectClient());
            otherClients.back().write(sentText);
            // A client that connects among the others has its call answered as well.
            if (remaining != 100) continue;
            callingClients.push_back(fixture.connectClient());
            callingClients.back().write(apiCall("status", 1000));
        }
        CHECK(answerWrittenCall(fixture, workerConnection, callingClients.back()));
        for (const Socket &client : callingClients)
            CHECK(sendAndAnswerCall(fixture, workerConnection, client));
        std::size_t closedCount = 0;
        for (const Socket &client : otherClients)
            closedCount += client.read(kUntilClosed, milliseconds(0)).ends_with("<closed>");
        CHECK(closedCount >= 180);
    }
}

// Clients that use each connection for one call and keep it open could otherwise use up the sockets.
// With 96 sockets the gateway keeps at most 24 connections that have sent a call, while some of them are
// idle. One of the 24 here has a pending call, so 23 of the 40 idle ones stay.
TEST_CASE(
    "of too many clients that have sent calls the one idle longest is closed, none with a pending call") {
    GatewayFixture fixture({.maxSockets = 96});
    const Socket busyClient = fixture.makeReadyAndConnect();
    busyClient.write(apiCall("dispatch", 1000));
    const Socket busyWorkerConnection = fixture.workerListener.accept();
    busyWorkerConnection.read(kCallEnd);
    Socket workerConnection;
    std::vector<Socket> idleClients;
    for (int remaining = 40; remaining > 0; --remaining) {
        idleClients.push_back(fixture.connectClient());
        CHECK(sendAndAnswerCall(fixture, workerConnection, idleClients.back()));
    }
    for (std::size_t index = 0; index < idleClients.size(); ++index) {
        CAPTURE(index);
        // Readable means closed, as each answer was read before.
        CHECK(idleClients[index].waitReadable(milliseconds(0)) == (index < 40 - 23));
    }
    busyWorkerConnection.write(kProxiedReply);
    CHECK(busyClient.read("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE("PING gets -LOADING before discovery has answered, and bad commands get an error") {
    GatewayFixture fixture;
    const Socket earlyClient = fixture.connectClient();
    earlyClient.write("*1\r\n$4\r\nPING\r\n");
    CHECK(earlyClient.read().substr(0, 8) == "-LOADING");
    const Socket client = fixture.makeReadyAndConnect();
    client.write("*1\r\n$3\r\nFOO\r\n" + apiCall("odd", 100));
    CHECK(client.read("class\r\n") == "-ERR unknown command\r\n-ERR unknown class\r\n");
    client.write("*1\r\n$4\r\nINFO\r\n");
    CHECK(client.read("peer_messages_out:0").find("bad_commands:2\r\n") != std::string::npos);
    client.write("nonsense\r\n");
    CHECK(client.read(kUntilClosed) == "-ERR Protocol error\r\n<closed>");
    // Each argument is within the limit of 64 KiB; the command as a whole is longer than one may be (72 KiB).
    const Socket oversizeClient = fixture.connectClient();
    oversizeClient.write("*5\r\n$65536\r\n" + std::string(65536, 'x') + "\r\n$65536\r\n" +
                         std::string(30000, 'x'));
    CHECK(oversizeClient.read(kUntilClosed) == "-ERR Protocol error\r\n<closed>");
}

// The client timeouts of the settings are 1 s, so the process may be killed 1.7 s after the stop begins.
TEST_CASE("a planned stop ends before the kill, though clients keep connecting and a worker does not reply") {
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 60000));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    const auto stopBegunAt = std::chrono::steady_clock::now();
    fixture.beginStop();
    std::vector<Socket> connectingClients;
    while (!fixture.hasEnded && std::chrono::steady_clock::now() - stopBegunAt < milliseconds(2500)) {
        connectingClients.push_back(Socket::connect(fixture.gatewayPort));
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(fixture.hasEnded);
    CHECK(std::chrono::steady_clock::now() - stopBegunAt < milliseconds(1700));
    // The call states a timeout of a minute; it gets its answer before the process ends all the same.
    CHECK(client.read(kUntilClosed) == "-ERR failed\r\n<closed>");
}

// Guards against clients that have connected while the process was held up, and whose connections are reset
// with a command on them because only some are accepted when the listener closes.
TEST_CASE("issue 50: clients that wait to be accepted when the listener closes are served") {
    constexpr int kClientCount = 200;
    GatewayFixture fixture({.maxSockets = 1024});
    fixture.makeReadyAndConnect();
    std::signal(SIGUSR2, [](int) { ::usleep(150000); });
    const auto stopBegunAt = std::chrono::steady_clock::now();
    fixture.beginStop();
    std::this_thread::sleep_until(stopBegunAt + milliseconds(480));
    ::pthread_kill(fixture.gatewayThread.native_handle(), SIGUSR2);
    std::this_thread::sleep_for(milliseconds(10));
    std::vector<Socket> clients;
    for (int remaining = kClientCount; remaining > 0; --remaining) {
        clients.push_back(Socket::connect(fixture.gatewayPort));
        clients.back().write("*1\r\n$4\r\nPING\r\n");
    }
    int servedCount = 0;
    for (const Socket &client : clients) servedCount += client.read() == "+PONG\r\n";
    CHECK(servedCount == kClientCount);
}

TEST_CASE("a planned stop answers pending calls, serves late clients and ends although a client stays") {
    GatewayFixture fixture;
    const Socket idleClient = fixture.makeReadyAndConnect();
    const Socket busyClient = fixture.connectClient();
    busyClient.write(apiCall("status", 1000));
    const Socket workerConnection = fixture.workerListener.accept();
    workerConnection.read(kCallEnd);
    fixture.beginStop();
    std::this_thread::sleep_for(milliseconds(250));
    const Socket lateClient = fixture.connectClient();
    lateClient.write("*1\r\n$4\r\nPING\r\n");
    CHECK(lateClient.read() == "+PONG\r\n");
    CHECK(idleClient.read(kUntilClosed) == "<closed>");
    CHECK(!fixture.hasEnded);
    workerConnection.write(kProxiedReply);
    CHECK(busyClient.read(kUntilClosed) == "$2\r\nhi\r\n<closed>");
    // The clients keep their ends open; the gateway does not wait for them.
    for (int remaining = 100; remaining > 0 && !fixture.hasEnded; --remaining)
        std::this_thread::sleep_for(milliseconds(10));
    CHECK(fixture.hasEnded);
    CHECK(!Socket::connect(fixture.gatewayPort).isOpen());
}
