#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <sstream>
#include <thread>
#include <vector>

#include "gateway.hpp"

using namespace arrowstile;
using std::chrono::milliseconds;

namespace {

/// One end of a connection, or a listener, on loopback.
class Socket {
public:
    explicit Socket(int handle = -1) : handle_(handle) {}
    Socket(Socket &&other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
    Socket &operator=(Socket &&other) noexcept {
        std::swap(handle_, other.handle_);
        return *this;
    }
    ~Socket() { close(); }

    static Socket listening() {
        Socket made(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in at = made.address(0);
        REQUIRE(::bind(made.handle_, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0);
        REQUIRE(::listen(made.handle_, 16) == 0);
        return made;
    }

    static Socket connected(int port) {
        Socket made(::socket(AF_INET, SOCK_STREAM, 0));
        const sockaddr_in at = made.address(port);
        if (::connect(made.handle_, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0) made.close();
        return made;
    }

    int port() const {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        ::getsockname(handle_, reinterpret_cast<sockaddr *>(&at), &size);
        return ntohs(at.sin_port);
    }

    bool open() const { return handle_ >= 0; }
    void close() {
        if (handle_ >= 0) ::close(std::exchange(handle_, -1));
    }
    bool ready(milliseconds wait) const {
        pollfd what{handle_, POLLIN, 0};
        return ::poll(&what, 1, static_cast<int>(wait.count())) > 0;
    }
    Socket accept(milliseconds wait = milliseconds(3000)) const {
        return Socket(ready(wait) ? ::accept(handle_, nullptr, nullptr) : -1);
    }
    void write(std::string_view text) const { ::send(handle_, text.data(), text.size(), MSG_NOSIGNAL); }
    /// What comes until `end` is there, the other side has closed or the time is up.
    std::string read(std::string_view end = "\r\n", milliseconds wait = milliseconds(3000)) const {
        std::string text;
        while (text.find(end) == std::string::npos && ready(wait)) {
            char bytes[4096];
            const ssize_t size = ::recv(handle_, bytes, sizeof bytes, 0);
            if (size <= 0) return text + "<closed>";
            text.append(bytes, static_cast<std::size_t>(size));
        }
        return text;
    }

private:
    static sockaddr_in address(int port) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return at;
    }

    int handle_;
};

std::string word(std::string_view text) {
    std::string out;
    resp::appendBulk(out, text);
    return out;
}

std::string call(const char *route, int patienceMs, const char *id = nullptr) {
    static std::atomic<int> last = 0;
    const std::string number = id != nullptr ? id : "1f" + std::to_string(++last);
    return "*4\r\n" + word(std::string_view(route) == "status" ? "Q.ASK" : "Q.DO") +
           word("00000000b4d65521") + word(number) +
           word("c=" + std::string(route) + ",t=basic,d=" + std::to_string(patienceMs) +
                ",units=1,spread=1,first=0");
}

const std::string proxied = "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n";

/// A gatekeeper in a thread, and beside it all that it speaks to.
struct World {
    explicit World(int sockets = 1024) {
        const auto at = [](int number) { return "\"127.0.0.1:" + std::to_string(number) + "\""; };
        Socket free = Socket::listening();
        port = free.port();
        free.close();
        start = parseStartDocument(
            R"({"limits":{"memory_mb":32,"sockets":)" + std::to_string(sockets) + R"(},"listen":)" +
            at(port) + R"(,"discovery":)" + at(discovery.port()) + R"(,"counter":)" + at(counter.port()) +
            R"(,"known":{"index":1,"endpoints":[{"name":"w","address":)" + at(worker.port()) +
            R"(,"status":"Ready"}]},"settings":{"balancers":1,"rules":{"rampTimeMs":1000},"classes":[
            {"name":"status","effect":"safe","onTimeMs":800,"deadlineMs":1000},
            {"name":"dispatch","effect":"unsafe","onTimeMs":800,"deadlineMs":1000}],
            "packages":[{"name":"basic","refill":1,"storeSize":100}],"familyInfo":{"mayCount":true,"countLimitMs":50},
            "permissions":{"cancel":true,"retryAfter":true,"sendCap":3,"maxRetryAfterMs":1000,"connectTimeoutMs":250,
            "keepaliveMs":600,"streamsPerConn":4}}})");
        thread = std::thread([this] {
            uv_loop_t loop;
            uv_loop_init(&loop);
            {
                Log log(said, Log::Level::info);
                Gateway(&loop, start, log, [this] {
                    if (renewed) return *renewed;
                    throw ConfigError("no document");
                }).run();
            }
            uv_run(&loop, UV_RUN_DEFAULT);
            left = uv_loop_close(&loop);
            over = true;
        });
        watch = discovery.accept();
        watch.read("\r\n\r\n");
    }
    ~World() {
        ended();
        CHECK(left == 0);  // nothing is still open on the loop
    }
    void ended() {
        stop();
        if (thread.joinable()) thread.join();
    }
    void stop() {
        if (!std::exchange(stopped, true)) ::kill(::getpid(), SIGTERM);
    }
    void tell(const std::string &endpoints) {
        const std::string body = R"({"index":2,"snapshot":false,"endpoints":[)" + endpoints + "]}";
        watch.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(watch.read("\r\n\r\n").find("since=2") != std::string::npos);  // the next watch
    }
    Socket client() {
        Socket made = Socket::connected(port);
        REQUIRE(made.open());
        return made;
    }
    Socket ready() {
        tell("");
        Socket made = client();
        made.write("*1\r\n$4\r\nPING\r\n");
        CHECK(made.read() == "+PONG\r\n");
        return made;
    }

    Socket discovery = Socket::listening(), counter = Socket::listening(), worker = Socket::listening(),
           watch;
    int port = 0, left = -1;
    StartDocument start;
    std::optional<StartDocument> renewed;  // what a SIGHUP finds
    std::ostringstream said;
    std::atomic<bool> over = false;
    bool stopped = false;
    std::thread thread;
};

}  // namespace

TEST_CASE("what becomes of a try decides the one final answer") {
    struct Row {
        const char *name, *route, *reply, *answer;
        bool closes;
        int tries;
    };
    const Row rows[] = {
        {"proxied", "dispatch", proxied.c_str(), "$2\r\nhi\r\n", false, 1},
        {"an error of what must not run twice", "dispatch", "-ERR failed\r\n", "-ERR failed\r\n", false, 1},
        {"a break of what must not run twice", "dispatch", "", "-ERR failed\r\n", true, 1},
        {"half a reply and a break", "dispatch", "*3\r\n$2\r\nh", "-ERR failed\r\n", true, 1},
        {"noise without an end", "dispatch", "nonsense", "-ERR failed\r\n", false, 1},
        {"no reply to a call", "dispatch", "+OK\r\n", "-ERR failed\r\n", false, 1},
        {"3 GB", "dispatch", "*3\r\n$3000000000\r\nxx", "-ERR failed\r\n", false, 1},
        {"items without an end", "dispatch", "*1000000000\r\n", "-ERR failed\r\n", false, 1},
        {"an error of what may run again", "status", "-ERR failed\r\n", "$2\r\nhi\r\n", false, 2},
        {"a break of what may run again", "status", "", "$2\r\nhi\r\n", true, 2},
        {"turned away unseen", "dispatch", "-BUSY\r\n", "$2\r\nhi\r\n", false, 2},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        World world;
        const Socket client = world.ready();
        client.write(call(row.route, 1000) + "*1\r\n$4\r\nPING\r\n");
        Socket link = world.worker.accept();
        const std::string sent = link.read("first=0\r\n");
        CHECK(sent.find("c=" + std::string(row.route)) != std::string::npos);
        link.write(row.reply);
        if (row.closes) link.close();
        if (row.tries == 2) {
            if (row.closes) link = world.worker.accept();
            CHECK(link.read("first=0\r\n").find("c=" + std::string(row.route)) != std::string::npos);
            link.write(proxied);
        }
        // and nothing more for the call
        CHECK(client.read("PONG\r\n") == std::string(row.answer) + "+PONG\r\n");
    }
}

TEST_CASE("a spoilt answer is a failed try: repeated where the route allows, and its connection closes") {
    World world;
    const Socket client = world.ready();
    client.write(call("status", 1000));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    link.write("xxxxxxxx");
    CHECK(link.read("x") == "<closed>");
    const Socket next = world.worker.accept();
    CHECK(next.read("first=0\r\n").find("c=status") != std::string::npos);
    next.write(proxied);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE("what comes behind a good answer is passed on to nobody, and its connection closes") {
    for (const std::string &behind : {proxied, std::string("noise")}) {
        for (const int laterMs : {0, 20}) {
            World world;
            const Socket client = world.ready();
            client.write(call("status", 1000));
            const Socket link = world.worker.accept();
            link.read("first=0\r\n");
            link.write(laterMs > 0 ? proxied : proxied + behind);
            CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
            if (laterMs > 0) link.write(behind);
            client.write(call("status", 1000));
            const Socket next = world.worker.accept();
            next.read("first=0\r\n");
            next.write("*3\r\n$3\r\nown\r\n$-1\r\n$-1\r\n");
            CHECK(client.read("own\r\n") == "$3\r\nown\r\n");
            CHECK(link.read("x") == "<closed>");
        }
    }
}

TEST_CASE("large values pass; where too much of them is begun at once the longest makes room") {
    World world;  // a value of 512 KiB at most, 3.2 MiB of all that are begun
    const Socket client = world.ready();
    const auto begun = [](std::size_t size, std::size_t sent) {
        return "*3\r\n$" + std::to_string(size) + "\r\n" + std::string(sent, 'v');
    };
    client.write(call("status", 1000));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    link.write(begun(370000, 370000) + "end\r\n$-1\r\n$-1\r\n");  // three bytes more than it said
    CHECK(link.read("x") == "<closed>");
    Socket again = world.worker.accept();
    again.read("first=0\r\n");
    again.write(begun(370000, 370000) + "\r\n$-1\r\n$-1\r\n");
    CHECK(client.read("v\r\n").size() == 9 + 370000 + 2);

    again.close();
    const std::string at = std::to_string(world.worker.port());  // one worker takes six tries at first
    world.tell(R"({"name":"v","address":"127.0.0.1:)" + at + R"(","status":"Ready"})");
    std::vector<Socket> clients, links;
    for (std::size_t number = 0; number < 8; ++number) {
        clients.push_back(world.client());
        clients.back().write(call("dispatch", 3000));
        links.push_back(world.worker.accept());
        const Socket &one = links.back();
        one.read("first=0\r\n");
        one.write(begun(500000, number == 3 ? 499000 : 460000));
    }
    CHECK(links[3].read("x") == "<closed>");
    CHECK(clients[3].read() == "-ERR failed\r\n");
    links[4].write(std::string(40000, 'v') + "\r\n$-1\r\n$-1\r\n");
    CHECK(clients[4].read("v\r\n").size() == 9 + 500000 + 2);
}

TEST_CASE("a try that is never answered is given up in time, and its connection with it") {
    for (const char *route : {"status", "dispatch"}) {
        CAPTURE(route);
        World world;
        const Socket client = world.ready();
        const auto begun = std::chrono::steady_clock::now();
        client.write(call(route, 300));
        const Socket link = world.worker.accept();
        link.read("first=0\r\n");
        CHECK(client.read().substr(0, 5) == (std::string_view(route) == "status" ? "-BUSY" : "-ERR "));
        CHECK(std::chrono::steady_clock::now() - begun < milliseconds(360));
        CHECK(link.read("x") == "<closed>");
    }
}

TEST_CASE("a client that goes away has its try called off") {
    World world;
    Socket client = world.ready();
    client.write(call("status", 1000));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    client.close();
    CHECK(link.read("x", milliseconds(500)) == "<closed>");
}

TEST_CASE("answers keep the order of their commands") {
    World world;
    const Socket client = world.ready();
    client.write(call("status", 1000) + call("status", 1000) + "*1\r\n$4\r\nPING\r\n");
    const Socket one = world.worker.accept(), two = world.worker.accept();
    one.read("first=0\r\n");
    two.read("first=0\r\n");
    two.write("*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n");
    CHECK(!client.ready(milliseconds(100)));
    one.write("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n");
    CHECK(client.read("PONG\r\n") == "$3\r\none\r\n$3\r\ntwo\r\n+PONG\r\n");
}

TEST_CASE("nothing new goes to a worker that drains, also not on a connection still coming up") {
    World world;
    const Socket client = world.ready();
    client.write(call("status", 1000));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    world.tell(R"({"name":"w","status":"Terminating"})");
    link.write(proxied);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(link.read("x") == "<closed>");
    client.write(call("status", 1000));
    CHECK(client.read().substr(0, 5) == "-BUSY");
    CHECK(!world.worker.accept(milliseconds(100)).open());
}

TEST_CASE("an idle connection is given back before the worker's machine would close it") {
    World world;
    const Socket client = world.ready();
    client.write(call("status", 1000));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    link.write(proxied);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(link.read("x", milliseconds(1500)) == "<closed>");
}

TEST_CASE("idle connections are given back in half the time after which a worker was seen to end one") {
    World world;  // 300 ms by its settings
    const Socket client = world.ready();
    const auto served = [&](const Socket &link) {
        link.read("first=0\r\n");
        link.write(proxied);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    };
    client.write(call("status", 1000));
    Socket link = world.worker.accept();
    served(link);
    std::this_thread::sleep_for(milliseconds(120));
    link.close();
    std::this_thread::sleep_for(milliseconds(20));
    client.write(call("status", 1000));
    const Socket second = world.worker.accept();
    served(second);
    std::this_thread::sleep_for(milliseconds(90));
    client.write(call("status", 1000));
    served(world.worker.accept());
    CHECK(second.read("x") == "<closed>");
}

TEST_CASE("a pass is reported to the counter, and one without an answer is not repeated") {
    World world;
    const Socket client = world.ready();
    client.write(call("status", 1000));
    const Socket link = world.worker.accept(), count = world.counter.accept();
    CHECK(count.read("\r\n\r\n").find("?delta=1&life_ms=60000 HTTP/1.1\r\n") != std::string::npos);
    link.read("first=0\r\n");
    link.write(proxied);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(!count.ready(milliseconds(300)));
    CHECK(!world.counter.accept(milliseconds(50)).open());
}

TEST_CASE("an answer of the counter without a number: added, never again, and the connection closes") {
    const auto ok = [](const std::string &body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    struct Row {
        std::string answer;
        bool read, again;
    };
    const Row rows[] = {
        {ok("nan"), false, false},
        {ok("1e999"), false, false},
        {ok(""), false, false},
        {ok("1x"), false, false},
        {"noise, no HTTP\r\n\r\n", false, false},
        {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", false, false},
        {ok("1\n"), true, false},
        {"HTTP/1.1 100 Continue\r\n\r\n" + ok("1"), true, false},
        {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.answer);
        World world;
        const Socket client = world.ready();
        client.write(call("status", 1000));
        const Socket link = world.worker.accept(), count = world.counter.accept();
        const std::string add = count.read("\r\n\r\n");
        count.write(row.answer);
        if (row.again) CHECK(count.read("\r\n\r\n") == add);
        if (!row.read) CHECK(count.read("x") == "<closed>");
        link.read("first=0\r\n");
        link.write(proxied);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        client.write(call("status", 1000));  // and the customer is not shut out
        CHECK(link.read("first=0\r\n").find("Q.ASK") != std::string::npos);
        link.write(proxied);
        CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
        if (row.again) continue;
        const Socket next = row.read ? Socket() : world.counter.accept();
        CHECK((row.read ? count : next).read("\r\n\r\n").find("?delta=1&") != std::string::npos);
    }
}

TEST_CASE("a late answer of the counter still tells: what it turned away is added again") {
    World world;
    const Socket client = world.ready();
    client.write(call("status", 1000));
    const Socket count = world.counter.accept();
    const std::string add = count.read("\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(100));  // twice what the settings call in time
    count.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    CHECK(count.read("\r\n\r\n") == add);
    count.write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
    CHECK(!count.ready(milliseconds(100)));
}

TEST_CASE("a reload moves discovery and counter; what is under way ends where it began, once") {
    World world;
    const Socket client = world.ready();
    client.write(call("status", 1000));
    const Socket link = world.worker.accept(), count = world.counter.accept();
    count.read("\r\n\r\n");
    link.read("first=0\r\n");
    ::kill(::getpid(), SIGHUP);  // there is no document: all stays
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(!world.watch.ready(milliseconds(0)));
    const Socket discovery = Socket::listening(), counter = Socket::listening();
    world.renewed = world.start;
    world.renewed->discoveryAddress.port = discovery.port();
    world.renewed->counterAddress->port = counter.port();
    ::kill(::getpid(), SIGHUP);
    const Socket watch = discovery.accept();
    CHECK(watch.read("\r\n\r\n").starts_with("GET /api/targets HTTP"));
    CHECK(world.watch.read("x") == "<closed>");
    count.write("HTTP/1.1 200 OK\r\nContent-Le");
    CHECK(!counter.accept(milliseconds(30)).open());  // half an answer is none yet
    count.write("ngth: 1\r\n\r\n1");
    CHECK(count.read("x") == "<closed>");
    link.write(proxied);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    client.write(call("status", 1000));
    CHECK(counter.accept().read("\r\n\r\n").find("?delta=1&") != std::string::npos);
    link.read("first=0\r\n");
    world.stop();  // and a planned stop may follow
    link.write(proxied);
    CHECK(client.read("x") == "$2\r\nhi\r\n<closed>");
    world.ended();
    CHECK(world.said.str().find("error reload: no document; all stays as it was\n") != std::string::npos);
}

TEST_CASE("after a stop of the machine what came in time counts, and what is too old is not sent on") {
    World world;
    const Socket client = world.ready();
    client.write(call("dispatch", 500));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    std::signal(SIGUSR2, [](int) { ::usleep(700000); });
    ::pthread_kill(world.thread.native_handle(), SIGUSR2);
    std::this_thread::sleep_for(milliseconds(100));
    link.write(proxied);
    const Socket other = world.client();
    other.write(call("dispatch", 300));
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    CHECK(other.read().substr(0, 5) == "-BUSY");
    CHECK(!link.ready(milliseconds(50)));
}

TEST_CASE("discovery that answers badly is asked again, for the whole list where it does not know ours") {
    struct Row {
        const char *answer, *next;
    };
    const Row rows[] = {
        {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", "GET /api/targets HTTP/1.1"},
        {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "GET /api/targets?since=1&"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "GET /api/targets?since=1&"},
        {"nonsense\r\n\r\n", "GET /api/targets?since=1&"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.answer);
        World world;
        world.watch.write(row.answer);
        world.watch = world.discovery.accept();
        CHECK(world.watch.read("\r\n\r\n").starts_with(row.next));
        const Socket client = world.ready();
        client.write(call("status", 1000));
        CHECK(world.worker.accept().open());  // the list from before still stands
    }
}

TEST_CASE("what waits in the buffer of a connection that was not read for a while is answered too") {
    World world;
    const Socket client = world.ready();
    std::string pings, pongs;
    for (int left = 3000; left > 0; --left) {
        pings += "*1\r\n$4\r\nPING\r\n";
        pongs += "+PONG\r\n";
    }
    client.write(pings);
    std::string came;
    while (came.size() < pongs.size() && client.ready(milliseconds(1000))) came += client.read("PONG\r\n");
    CHECK(came == pongs);
}

TEST_CASE("a client that is slow to read holds up nobody else and still gets every answer") {
    World world;
    const Socket other = world.ready(), slow = world.client();
    constexpr std::size_t asked = 20000;
    std::thread writer([&] {
        std::string text;
        for (std::size_t left = asked; left > 0; --left) text += "*1\r\n$4\r\nINFO\r\n";
        slow.write(text);  // stands still once the gatekeeper has stopped reading
    });
    std::this_thread::sleep_for(milliseconds(300));
    other.write("*1\r\n$4\r\nPING\r\n");
    CHECK(other.read() == "+PONG\r\n");
    std::string came;
    while (slow.ready(milliseconds(1000))) came += slow.read("\n");
    writer.join();
    std::size_t answers = 0;
    for (std::size_t at = 0; (at = came.find("peer_messages_out", at)) != std::string::npos; ++at) ++answers;
    CHECK(answers == asked);
}

TEST_CASE("bad clients get an error or a close in time, and nobody waits for what they may still send") {
    struct Row {
        const char *name;
        std::string sent;
        const char *answer;
        Duration least, most;
    };
    const std::string half = "*4\r\n$5\r\nQ.ASK\r\n$16\r\n0000";
    const Row rows[] = {
        {"silence", "", "<closed>", milliseconds(1500), milliseconds(2800)},
        {"half a command", half, "<closed>", milliseconds(1500), milliseconds(2800)},
        {"60 MB to come",
         "*2\r\n$60000000\r\nxxxx",
         "-ERR Protocol error\r\n<closed>",
         {},
         milliseconds(600)},
        {"a length below nought", "*2\r\n$-5\r\n", "-ERR Protocol error\r\n<closed>", {}, milliseconds(600)},
        {"noise", std::string(100000, 'x'), "-ERR Protocol error\r\n<closed>", {}, milliseconds(600)},
    };
    World world;
    world.ready();
    std::vector<Socket> sockets;
    const auto begun = std::chrono::steady_clock::now();
    for (const Row &row : rows) (sockets.push_back(world.client()), sockets.back().write(row.sent));
    const Socket usual = world.client();
    usual.write("*1\r\n$4\r\nPING\r\n" + half);
    for (const std::size_t at : {2u, 3u, 4u, 0u, 1u}) {
        CAPTURE(rows[at].name);
        // read() ends at a line: what comes after it is the close
        std::string came = sockets[at].read("\r\n");
        if (!came.ends_with("<closed>")) came += sockets[at].read("\r\n");
        CHECK(came == rows[at].answer);
        const auto took = std::chrono::steady_clock::now() - begun;
        CHECK((took >= rows[at].least && took <= rows[at].most));
    }
    CHECK(usual.read("x") == "+PONG\r\n<closed>");  // half a command is too late from anybody
}

TEST_CASE("the id of an open call is turned away, and the open call goes on") {
    World world;
    const Socket client = world.ready(), other = world.client();
    client.write(call("dispatch", 1000, "77"));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    other.write(call("dispatch", 1000, "77"));
    CHECK(other.read() == "-ERR this id is open\r\n");
    CHECK(!world.worker.accept(milliseconds(50)).open());
    link.write(proxied);
    CHECK(client.read("hi\r\n") == "$2\r\nhi\r\n");
    other.write(call("dispatch", 1000, "77"));
    CHECK(link.read("first=0\r\n").find("c=dispatch") != std::string::npos);
}

/// Whether the API call that a client has written is served, on the worker's one connection or a new one.
bool served(const World &world, Socket &link, const Socket &client) {
    if (!link.open() || link.read("first=0\r\n").ends_with("<closed>")) {
        link = world.worker.accept();
        link.read("first=0\r\n");
    }
    link.write(proxied);
    return client.read("hi\r\n") == "$2\r\nhi\r\n";
}

bool serves(const World &world, Socket &link, const Socket &client) {
    client.write(call("status", 1000));
    return served(world, link, client);
}

TEST_CASE("a crowd that says nothing, or PING and no more, takes no descriptor from usual clients") {
    for (const std::string said : {"", "*1\r\n$4\r\nPING\r\n"}) {
        CAPTURE(said);
        World world(96);  // 39 clients, 13 of them strangers
        const Socket first = world.ready();
        Socket link;
        std::vector<Socket> usual, crowd;
        for (int left = 10; left > 0; --left) usual.push_back(world.client());
        for (const Socket &one : usual) CHECK(serves(world, link, one));
        for (int left = 200; left > 0; --left) {
            crowd.push_back(world.client());
            crowd.back().write(said);
            if (left != 100) continue;
            usual.push_back(world.client());
            usual.back().write(call("status", 1000));
        }
        CHECK(served(world, link, usual.back()));
        for (const Socket &one : usual) CHECK(serves(world, link, one));
        std::size_t closed = 0;
        for (const Socket &one : crowd) closed += one.read("x", milliseconds(0)).ends_with("<closed>");
        CHECK(closed >= 180);
    }
}

TEST_CASE("clients that ask once and stay keep nobody out: the one idle longest goes, none with a call") {
    World world(96);  // at most 24 that have asked, while some are idle
    const Socket open = world.ready();
    open.write(call("dispatch", 1000));
    const Socket held = world.worker.accept();
    held.read("first=0\r\n");
    Socket link;
    std::vector<Socket> once;
    for (int left = 40; left > 0; --left) {
        once.push_back(world.client());
        CHECK(serves(world, link, once.back()));
    }
    for (std::size_t at = 0; at < once.size(); ++at) {
        CAPTURE(at);
        CHECK(once[at].ready(milliseconds(0)) == (at < 40 - 23));
    }
    held.write(proxied);
    CHECK(open.read("hi\r\n") == "$2\r\nhi\r\n");
}

TEST_CASE("not ready before discovery has spoken; bad commands get a plain error") {
    World world;
    const Socket early = world.client();
    early.write("*1\r\n$4\r\nPING\r\n");
    CHECK(early.read().substr(0, 8) == "-LOADING");
    const Socket client = world.ready();
    client.write("*1\r\n$3\r\nFOO\r\n" + call("odd", 100));
    CHECK(client.read("class\r\n") == "-ERR unknown command\r\n-ERR unknown class\r\n");
    client.write("*1\r\n$4\r\nINFO\r\n");
    CHECK(client.read("peer_messages_out:0").find("bad_commands:2\r\n") != std::string::npos);
    client.write("nonsense\r\n");
    CHECK(client.read("x") == "-ERR Protocol error\r\n<closed>");
    const Socket endless = world.client();
    endless.write("*5\r\n$65536\r\n" + std::string(65536, 'x') + "\r\n$65536\r\n" + std::string(30000, 'x'));
    CHECK(endless.read("x") == "-ERR Protocol error\r\n<closed>");
}

TEST_CASE("a planned stop ends before the kill, whoever goes on coming, and whatever workers do") {
    World world;  // client timeouts of 1 s: the kill may come after 1.7 s
    const Socket client = world.ready();
    client.write(call("status", 60000));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    const auto begun = std::chrono::steady_clock::now();
    world.stop();
    std::vector<Socket> crowd;
    while (!world.over && std::chrono::steady_clock::now() - begun < milliseconds(2500)) {
        crowd.push_back(Socket::connected(world.port));
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(world.over);
    CHECK(std::chrono::steady_clock::now() - begun < milliseconds(1700));
    CHECK(client.read("x") == "-ERR failed\r\n<closed>");  // though it would have waited for a minute
}

TEST_CASE(
    "a planned stop answers what it has taken, takes what still comes, and ends with a client that stays") {
    World world;
    const Socket idle = world.ready(), busy = world.client();
    busy.write(call("status", 1000));
    const Socket link = world.worker.accept();
    link.read("first=0\r\n");
    world.stop();
    std::this_thread::sleep_for(milliseconds(250));
    const Socket late = world.client();
    late.write("*1\r\n$4\r\nPING\r\n");
    CHECK(late.read() == "+PONG\r\n");
    CHECK(idle.read("x") == "<closed>");
    CHECK(!world.over);
    link.write(proxied);
    CHECK(busy.read("x") == "$2\r\nhi\r\n<closed>");
    for (int left = 100; left > 0 && !world.over; --left) std::this_thread::sleep_for(milliseconds(10));
    CHECK(world.over);
    CHECK(!Socket::connected(world.port).open());
}
