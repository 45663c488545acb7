#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "clock.hpp"
#include "core/discovery_update.hpp"
#include "core/http.hpp"
#include "core/pending_calls.hpp"
#include "core/resource_limits.hpp"
#include "core/start_document.hpp"
#include "core/worker_reply.hpp"
#include "helpers.hpp"

using namespace arrowstile;
using namespace arrowstile::test;
using resp::ParseResult;

namespace {

std::string command(const std::vector<std::string> &words) {
    std::string text;
    resp::appendArrayHeader(text, words.size());
    for (const std::string &word : words) resp::appendBulk(text, word);
    return text;
}

}  // namespace

TEST_CASE("a command is whole, not yet whole, or broken") {
    const std::string whole = command({"PING"}), big(resp::kMaxCommandValueBytes, 'x');
    struct Row {
        const char *name;
        std::string in;
        ParseResult parsed;
        std::size_t words;
    };
    const Row rows[] = {
        {"nothing", "", ParseResult::incomplete, 0},
        {"whole", whole, ParseResult::complete, 1},
        {"two of them", whole + whole, ParseResult::complete, 1},
        {"an empty word", "*1\r\n$0\r\n\r\n", ParseResult::complete, 1},
        {"the longest value", command({"SET", big}), ParseResult::complete, 2},
        {"a value too long", command({big + "x"}), ParseResult::malformed, 0},
        {"a huge claim", "*1\r\n$99999999999\r\n", ParseResult::malformed, 0},
        {"a claim past any number", "*1\r\n$99999999999999999999999\r\n", ParseResult::malformed, 0},
        {"less than nothing", "*1\r\n$-1\r\n", ParseResult::malformed, 0},
        {"no words", "*0\r\n", ParseResult::malformed, 0},
        {"too many words", "*17\r\n", ParseResult::malformed, 0},
        {"inline", "PING\r\n", ParseResult::malformed, 0},
        {"HTTP", "GET / HTTP/1.1\r\n", ParseResult::malformed, 0},
        {"a number for a word", "*1\r\n:5\r\n", ParseResult::malformed, 0},
        {"no end of the word", "*1\r\n$1\r\nxyz", ParseResult::malformed, 0},
        {"an endless line", "*" + std::string(5000, '1'), ParseResult::malformed, 0},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        resp::Command read;
        CHECK(resp::parseCommand(row.in, read) == row.parsed);
        if (row.parsed == ParseResult::complete) CHECK(read.arguments.size() == row.words);
    }
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        resp::Command read;
        CHECK(resp::parseCommand(whole.substr(0, cut), read) == ParseResult::incomplete);
    }
}

TEST_CASE("a worker's reply tells the outcome, the value and the figures") {
    Settings site;
    site.loadColumnNames = {"q", "util"};
    site.engine.hasActualUnits = true;
    struct Row {
        const char *in;
        ParseResult parsed;
        Outcome outcome;
        std::string value;
        std::vector<double> load;
    };
    const Row rows[] = {
        {"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n", ParseResult::complete, Outcome::answered, "hi", {}},
        {"*3\r\n$0\r\n\r\n$14\r\nused=50,cost=3\r\n$16\r\nqueue=2,util=0.5\r\n",
         ParseResult::complete,
         Outcome::answered,
         "",
         {2, 0.5}},
        {"*3\r\n$2\r\nhi\r\n$-1\r\n$7\r\nqueue=2\r\n", ParseResult::complete, Outcome::answered, "hi", {}},
        {"*3\r\n$2\r\nhi\r\n$-1\r\n$17\r\nqueue=-2,util=0.5\r\n",
         ParseResult::complete,
         Outcome::answered,
         "hi",
         {}},
        {"*3\r\n$2\r\nhi\r\n:7\r\n$16\r\nqueue=nan,util=1\r\n",
         ParseResult::complete,
         Outcome::answered,
         "hi",
         {}},
        {"*3\r\n$2\r\nhi\r\n$-1\r\n$20\r\nqueue=1e300,util=0.5\r\n",
         ParseResult::complete,
         Outcome::answered,
         "hi",
         {}},
        {"*2\r\n$2\r\nhi\r\n$-1\r\n", ParseResult::complete, Outcome::errored, "", {}},
        {"*3\r\n$-1\r\n$-1\r\n$-1\r\n", ParseResult::complete, Outcome::errored, "", {}},
        {"-ERR failed\r\n", ParseResult::complete, Outcome::errored, "", {}},
        {"-ERR failed q=1,util=0.25\r\n", ParseResult::complete, Outcome::errored, "", {1, 0.25}},
        {"-BUSY\r\n", ParseResult::complete, Outcome::overloaded, "", {}},
        {"-BUSY q=9,util=1\r\n", ParseResult::complete, Outcome::overloaded, "", {9, 1}},
        {"-BUSYNESS\r\n", ParseResult::complete, Outcome::errored, "", {}},
        {"+OK\r\n", ParseResult::complete, Outcome::errored, "", {}},
        {":7\r\n", ParseResult::complete, Outcome::errored, "", {}},
        {"*3\r\n$2\r\nhi", ParseResult::incomplete, {}, "", {}},
        {"*1\r\n*1\r\n*1\r\n*1\r\n:1\r\n", ParseResult::malformed, {}, "", {}},
        {"*99999\r\n", ParseResult::malformed, {}, "", {}},
        {"$99999\r\n", ParseResult::malformed, {}, "", {}},
        {"\r\n", ParseResult::malformed, {}, "", {}},
        {"nonsense\r\n", ParseResult::malformed, {}, "", {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.in);
        resp::Reply reply;
        REQUIRE(resp::parseReply(row.in, reply, resp::kMaxCommandValueBytes) == row.parsed);
        if (row.parsed != ParseResult::complete) continue;
        const WorkerReply read = parseWorkerReply(reply, site);
        CHECK(read.outcome == row.outcome);
        CHECK(read.value == row.value);
        CHECK(read.load == row.load);
        CHECK(read.isUnexpected == (row.outcome == Outcome::errored && row.in[0] != '-'));
        if (row.load == std::vector{2, 0.5}) CHECK((read.rateUsedFraction == 0.5 && read.actualUnits == 3));
    }
}

TEST_CASE("how long a worker's value may be is told by the caller, not by the usual length") {
    const std::string large = "*3\r\n$300000\r\n" + std::string(300000, 'v') + "\r\n$-1\r\n$-1\r\n";
    resp::Reply reply;
    CHECK(resp::parseReply(large, reply, 300000) == ParseResult::complete);
    CHECK(reply.items[0].text.size() == 300000);
    CHECK(resp::parseReply(large.substr(0, 13), reply, 299999) == ParseResult::malformed);
    CHECK(mayBecomeCallReply(large, 300000));
    CHECK_FALSE(mayBecomeCallReply(large, 200000));
}

TEST_CASE("an API call passes on unchanged but for the patience, or is turned back with a reason") {
    Settings site;
    site.routeNames = {"status", "order"};
    site.planNames = {"basic", "team"};
    site.engine = smallSite();
    site.engine.gatewayCount = 3;
    site.engine.maxUnits = 6;
    const std::string customer = "00000000b4d65521",
                      list = "c=order,t=team,d=480,k=5c0f,units=2.5,spread=3,first=1";
    struct Row {
        const char *name;
        std::vector<std::string> words;
        const char *wrong;
    };
    const Row rows[] = {
        {"whole", {"Q.DO", customer, "9b1f", list, "BODY"}, ""},
        {"no body", {"Q.ASK", customer, "9b1f", "d=480,c=status,t=basic"}, ""},
        {"unknown names pass", {"Q.ASK", customer, "9b1f", "c=status,t=basic,d=1,x=,y,,z=1"}, ""},
        {"too short", {"Q.ASK", customer}, "wrong number of arguments"},
        {"a customer that is none", {"Q.ASK", "b4d65521", "9b1f", list}, "no such customer"},
        {"a customer past the end", {"Q.ASK", "0000000200000000", "9b1f", list}, "no such customer"},
        {"an id too long", {"Q.ASK", customer, std::string(65, '1'), list}, "no such id"},
        {"no class", {"Q.ASK", customer, "1", "t=team,d=480"}, "no class"},
        {"no plan", {"Q.ASK", customer, "1", "c=order,d=480"}, "no plan"},
        {"no time", {"Q.ASK", customer, "1", "c=order,t=team"}, "no time"},
        {"an unknown class", {"Q.ASK", customer, "1", "c=odd,t=team,d=480"}, "unknown class"},
        {"an unknown plan", {"Q.ASK", customer, "1", "c=order,t=odd,d=480"}, "unknown plan"},
        {"a time that is none", {"Q.ASK", customer, "1", "c=order,t=team,d=nan"}, "bad time"},
        {"a time below nought", {"Q.ASK", customer, "1", "c=order,t=team,d=-1"}, "bad time"},
        {"units past any", {"Q.ASK", customer, "1", "c=order,t=team,d=1,units=1e300"}, "bad units"},
        {"no units at all", {"Q.DO", customer, "1", "c=order,t=team,d=1,units=0"}, "bad units"},
        {"more units than a call may have",
         {"Q.DO", customer, "1", "c=order,t=team,d=1,units=7"},
         "bad units"},
        {"units that are none", {"Q.DO", customer, "1", "c=order,t=team,d=1,units=inf"}, "bad units"},
        {"a set of none", {"Q.DO", customer, "1", "c=order,t=team,d=1,spread=0"}, "bad spread"},
        {"a set past all", {"Q.DO", customer, "1", "c=order,t=team,d=1,spread=4"}, "bad spread"},
        {"a set from nowhere", {"Q.DO", customer, "1", "c=order,t=team,d=1,first=3"}, "bad first"},
        {"no id", {"Q.DO", customer, "", "c=order,t=team,d=1"}, "no such id"},
        {"asked for what must be done", {"Q.ASK", customer, "1", list}, "wrong command for this class"},
        {"done what is asked",
         {"Q.DO", customer, "1", "c=status,t=team,d=1"},
         "wrong command for this class"},
        {"a spread past any", {"Q.ASK", customer, "1", "c=order,t=team,d=1,spread=-3"}, "bad spread"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        const std::string text = command(row.words);
        resp::Command read;
        REQUIRE(resp::parseCommand(text, read) == ParseResult::complete);
        ApiCall call;
        CHECK(parseApiCall(read, site, call) == row.wrong);
        if (*row.wrong != '\0') continue;
        std::string sent;
        call.appendCommand(sent, milliseconds(77));
        std::vector<std::string> words = row.words;
        const auto at = words[3].find("d=") + 2;
        words[3].replace(at, std::min(words[3].find(',', at), words[3].size()) - at, "77");
        CHECK(sent == command(words));
        if (row.words.size() < 5) continue;
        CHECK(call.event.route == RouteId{1});
        CHECK(call.event.plan == PlanId{1});
        CHECK(call.event.customer == CustomerId{0xb4d65521});
        CHECK(call.event.units == 2.5);
        CHECK(call.event.gatewaySubsetSize == 3);
        CHECK(call.event.timeRemaining == milliseconds(480));
    }
}

TEST_CASE("answers leave in the order of the commands, each once") {
    AnswerQueue queue;
    std::string out;
    const AnswerSlot first = queue.reserveSlot(), second = queue.reserveSlot(), third = queue.reserveSlot();
    CHECK(queue.fillSlot(second, "2"));
    queue.popReady(out);
    CHECK(out.empty());
    CHECK(queue.fillSlot(first, "1"));
    CHECK(!queue.fillSlot(first, "again"));
    queue.popReady(out);
    CHECK(out == "12");
    CHECK(!queue.fillSlot(second, "again"));
    CHECK(!queue.fillSlot(AnswerSlot{9}, "never asked"));
    CHECK(queue.fillSlot(third, "3"));
    queue.popReady(out);
    CHECK(out == "123");
    CHECK(queue.pendingCount() == 0);
}

TEST_CASE("a call leaves the book once, by its answer or with its client") {
    PendingCallTable book;
    ApiCall call;
    call.body = "12345";
    call.requestId = "a";
    const CallId one = book.add(call, {1}, {0}), two = book.add(call, {1}, {1}),
                 other = book.add(call, {2}, {0});
    CHECK(book.bodyBytes() == 15);
    CHECK(book.hasRequestId("a"));
    CHECK(book.remove(one));
    CHECK(!book.remove(one));
    CHECK(!book.hasRequestId("a"));
    CHECK(book.removeAllOf({1}) == std::vector{two});
    CHECK(book.removeAllOf({1}).empty());
    CHECK(book.find(two) == nullptr);
    CHECK(book.find(other) != nullptr);
    CHECK((book.size() == 1 && book.bodyBytes() == 5));
    CHECK(encodeRateLimitedAnswer(std::nullopt) == "-BUSY\r\n");
    CHECK(encodeRateLimitedAnswer(Duration{1500}) == "-BUSY 2\r\n");
    CHECK(encodeErroredAnswer() == "-ERR failed\r\n");
    CHECK(encodeProxiedAnswer("a\r\nb") == "$4\r\na\r\nb\r\n");
}

TEST_CASE("HTTP answers come out in order, however the bytes are cut, and bad ones end it") {
    const std::string two =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n7.5"
        "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nno\r\n0\r\n\r\n";
    for (const std::size_t step : {std::size_t{1}, std::size_t{7}, two.size()}) {
        std::vector<HttpResponse> heard;
        HttpResponseParser answers(10, [&](HttpResponse answer) { heard.push_back(answer); });
        for (std::size_t at = 0; at < two.size(); at += step) CHECK(answers.parse(two.substr(at, step)));
        REQUIRE(heard.size() == 2);
        CHECK((heard[0].status == 200 && heard[0].body == "7.5" && heard[0].isKeepAlive));
        CHECK((heard[1].status == 503 && heard[1].body == "no" && !heard[1].isKeepAlive));
    }
    for (const char *bad : {"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901"}) {
        HttpResponseParser answers(10, [](const HttpResponse &) {});
        CHECK(!answers.parse(bad));
    }
}

TEST_CASE("a list of workers: ids by name, states, and what is no list") {
    Settings site;
    site.zoneNames = {"a", "b"};
    DiscoveryParser reader(site), another(site);
    const std::string one =
        R"({"index":41,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:1","zone":"b",
        "group":3,"status":"Ready","weight":1.5,"since_ms":1000},{"name":"s-2","status":"Gone"},
        {"name":"s-3","status":"Terminating"}]})";
    const DiscoveryUpdate news = reader.parse(one);
    REQUIRE(news.workers.size() == 3);
    CHECK((news.version == 41 && news.isSnapshot));
    CHECK(news.workers[0].entry.zone == ZoneId{1});
    CHECK(news.workers[0].entry.startedAt == milliseconds(1000));
    CHECK(news.workers[0].entry.state == WorkerState::ready);
    CHECK(news.workers[1].entry.state == WorkerState::gone);
    CHECK(news.workers[2].entry.state == WorkerState::draining);
    CHECK(another.parse(R"({"index":1,"endpoints":[{"name":"s-3"}]})").workers[0].entry.worker ==
          news.workers[2].entry.worker);
    for (const char *bad :
         {"", "[]", "{}", R"({"index":"x","endpoints":[]})", R"({"index":1,"endpoints":[{}]})"}) {
        CAPTURE(bad);
        CHECK_THROWS_AS(reader.parse(bad), ConfigError);
    }
}

TEST_CASE("names of workers that are gone are forgotten, and one that comes back has its id again") {
    Settings site;
    DiscoveryParser reader(site);
    const auto list = [&](const char *snapshot, const std::string &name, const char *status) {
        return reader
            .parse(R"({"index":1,"snapshot":)" + std::string(snapshot) + R"(,"endpoints":[{"name":")" + name +
                   R"(","status":")" + status + R"("}]})")
            .workers[0]
            .entry.worker;
    };
    const WorkerId first = list("true", "s-0", "Ready");
    for (int number = 1; number <= 100; ++number) {
        const std::string name = "s-" + std::to_string(number);
        const WorkerId there = list("false", name, "Ready");
        CHECK(list("false", name, "Terminating") == there);
        CHECK(list("false", name, "Gone") == there);
    }
    CHECK(reader.knownWorkerCount() == 1);
    list("true", "s-101", "Ready");  // a whole list without the others
    CHECK(reader.knownWorkerCount() == 1);
    CHECK(list("false", "s-0", "Ready") == first);
}

TEST_CASE("lists of workers and peers are read whole at 1,024 and beyond, indented, in pieces") {
    for (const int count : {1024, 1500}) {
        CAPTURE(count);
        std::string list = "{\n  \"index\": 7,\n  \"snapshot\": true,\n  \"endpoints\": [", peers;
        for (int i = 0; i < count; ++i) {
            const std::string place = std::to_string(i / 250) + "." + std::to_string(i % 250);
            list += std::string(i > 0 ? "," : "") + "\n    {\n      \"name\": \"worker-" +
                    std::string(100, 'x') + std::to_string(i) + "\",\n      \"address\": \"127.1." + place +
                    ":16379\",\n      \"zone\": \"a\",\n      \"status\": \"Ready\"\n    }";
            peers += std::string(i > 0 ? "," : "") + "\n \"127.2." + place + ":7946\"";
        }
        list += "\n  ]\n}\n";
        std::string body;
        HttpResponseParser answers(16 * 1024 * 1024, [&](const HttpResponse &answer) { body = answer.body; });
        const std::string wire =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        for (std::size_t at = 0; at < wire.size(); at += 1460)
            REQUIRE(answers.parse(std::string_view(wire).substr(at, 1460)));
        Settings site;
        site.zoneNames = {"a"};
        DiscoveryParser reader(site);
        const DiscoveryUpdate news = reader.parse(body);
        CHECK(news.workers.size() == static_cast<std::size_t>(count));
        CHECK(reader.knownWorkerCount() == static_cast<std::size_t>(count));  // an id for each
        const StartDocument start = parseStartDocument(
            R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"memory_mb":8,"sockets":48},"known":)" +
            list + R"(,"peers":[)" + peers + R"(],"settings":{"balancers":)" + std::to_string(count) +
            R"(,"classes":[],"rules":{},"permissions":{}}})");
        CHECK(start.peerAddresses.size() == static_cast<std::size_t>(count));
        CHECK(start.settings.engine.gatewayCount == static_cast<unsigned>(count));
        CHECK(DiscoveryParser(site).parse(start.cachedWorkerListJson).workers.size() ==
              static_cast<std::size_t>(count));
    }
}

TEST_CASE("a start document that is wrong is told in one line") {
    const std::string settings =
        R"("settings":{"balancers":1,"classes":[],"rules":{},"permissions":{"keepaliveMs":15000}})";
    const std::string start =
        R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","peers":["127.0.0.1:3"],)";
    const StartDocument read = parseStartDocument(start + settings + "}");
    CHECK(read.seed == 255);
    CHECK(read.listenAddress == Address{"127.0.0.1", 1});
    CHECK(read.peerAddresses == std::vector{Address{"127.0.0.1", 3}});
    CHECK(!read.counterAddress);
    CHECK(read.cachedWorkerListJson.empty());
    CHECK(read.settings.workerIdleTimeout == milliseconds(15000));
    const std::string rows[] = {
        "",
        "{",
        "[]",
        "{}",
        start + "}",
        "{" + settings + "}",
        R"({"listen":5,)" + settings + "}",
        R"({"listen":"127.0.0.1","discovery":"127.0.0.1:2",)" + settings + "}",
        R"({"listen":"localhost:1","discovery":"127.0.0.1:2",)" + settings + "}",
        R"({"listen":"127.0.0.1:99999","discovery":"127.0.0.1:2",)" + settings + "}",
        R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"xyz",)" + settings + "}",
        start + R"("settings":{"balancers":1,"rules":{},"classes":[{"effect":"odd"}]}})"};
    for (const std::string &row : rows) {
        CAPTURE(row);
        try {
            parseStartDocument(row);
            CHECK(false);
        } catch (const ConfigError &error) {
            CHECK(std::string_view(error.what()).find('\n') == std::string_view::npos);
        }
    }
}

TEST_CASE("all that may be held at once follows from the stated limits") {
    struct Row {
        unsigned sockets, memoryMb;
    };
    for (const Row &row : {Row{256, 32}, Row{384, 48}, Row{1024, 32}, Row{1024, 192}, Row{16, 1}}) {
        CAPTURE(row.sockets);
        const ResourceLimits bounds(row.sockets, row.memoryMb);
        const std::size_t sockets = std::max(row.sockets, 48u), memory = std::max(row.memoryMb, 8u) << 20;
        CHECK(bounds.maxClientConnections + bounds.maxWorkerConnections + bounds.maxCounterConnections + 24 <=
              sockets);
        CHECK(bounds.maxCounterConnections <= 31);
        CHECK(bounds.maxNonCallingClients < bounds.maxClientConnections / 2 + 1);
        CHECK(3 * bounds.maxCallingClients < sockets);  // all that clients can hold for calls
        CHECK(bounds.maxCallingClients + bounds.maxNonCallingClients <= bounds.maxClientConnections);
        if (row.sockets >= 256)
            CHECK(3 * bounds.maxClientConnections > row.sockets);  // a third is for open calls
        // Bodies, answers, half commands in buffers up to twice as large, and replies of workers.
        CHECK(4 * bounds.maxBufferedBytesPerKind < memory / 2);
        CHECK(bounds.maxUnsentBytesPerClient <= bounds.maxBufferedBytesPerKind);
        CHECK(bounds.maxReplyValueBytes >= resp::kMaxCommandValueBytes);
        CHECK(2 * bounds.maxReplyValueBytes <=
              bounds.maxUnsentBytesPerClient);  // one is passed on while another waits
    }
}

TEST_CASE("alarms ring in order of time, and not once cleared") {
    TimerQueue alarms;
    std::string rung;
    alarms.schedule(Timestamp{20}, [&] { rung += 'b'; });
    alarms.schedule(Timestamp{10}, [&] { rung += 'a'; });
    const auto never = alarms.schedule(Timestamp{15}, [&] { rung += 'x'; });
    alarms.schedule(Timestamp{20}, [&] {
        alarms.schedule(Timestamp{20}, [&] { rung += 'd'; });
        rung += 'c';
    });
    alarms.cancel(never);
    CHECK(alarms.nextDue() == Timestamp{10});
    alarms.runDue(Timestamp{10});
    CHECK(rung == "a");
    alarms.runDue(Timestamp{30});
    CHECK(rung == "abcd");
    CHECK(!alarms.nextDue());
}
