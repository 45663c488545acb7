#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <sstream>

#include "host.hpp"
#include "settings.hpp"

using namespace arrowstile;
using namespace arrowstile::simhost;

namespace {

std::string bytes(std::string_view hex) {
    std::string out;
    int half = -1;
    for (const char c : hex) {
        if (c == ' ') continue;
        const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
        if (half >= 0) out.push_back(static_cast<char>(half * 16 + digit));
        half = half >= 0 ? -1 : digit;
    }
    return out;
}

const std::string clock_ = "40c06e2000000000 ";
const std::string settings =
    R"({"balancers":2,"classes":[{"effect":"keyed","keyScope":"zone","onTimeMs":500,"deadlineMs":2000}],
        "report":{"how":"pull","columns":["rif","never heard of"]},"rules":{},"new":{"key":1}})";

std::string start(std::string_view text) {
    std::string out = bytes("1e 00000003 0000000000000007") + std::string("\0\0", 2);
    out.push_back(static_cast<char>(text.size() >> 8));
    out.push_back(static_cast<char>(text.size() & 0xff));
    return out + std::string(text);
}

std::string frame(std::string_view records) {
    const std::size_t size = records.size() + 8;
    std::string out{0, 0, static_cast<char>(size >> 8), static_cast<char>(size & 0xff)};
    return out + bytes(clock_) + std::string(records);
}

}  // namespace

TEST_CASE("records are read field by field") {
    const Batch batch = decodeBatch(
        bytes(clock_ +
              "5a 00000003 000b08315d3a91c4 3f800000 406e000000000000 0002 40000000 40400000 01 0006 "
              "91f03b7c55d20a64"
              "0a 00000003 000b08315d3a91c4 01 03124a07 012f 4032800000000000 01 0056 0003 01 40400000"
              "64 00000003 03 0000000000000029 00000001 2c9011f2 01 02 0004 02 3fc00000 40b7d40000000000"
              "3c 00000004 000000000089f690 0064 42180000 4001333333333333 32 00000003"));
    REQUIRE(batch.happenings.size() == 5);
    CHECK(batch.now == Timestamp{8412250});
    const auto &taken = std::get<CallReceived>(std::get<Event>(batch.happenings[0].what));
    CHECK(taken.call == CallId{0x000b08315d3a91c4});
    CHECK(taken.gatewaySubsetStart == 1);
    CHECK(taken.timeRemaining == Duration{240000});
    CHECK(taken.plan == PlanId{2});
    CHECK(taken.units == 2);
    CHECK(taken.gatewaySubsetSize == 3);
    CHECK(taken.route == RouteId{1});
    CHECK(taken.isClientRetry);
    CHECK(taken.isWrite);
    CHECK(taken.customer == CustomerId{0x91f03b7c55d20a64});
    const auto &ended = std::get<TryEnded>(std::get<Event>(batch.happenings[1].what));
    CHECK(ended.outcome == Outcome::timedOut);
    CHECK(ended.latency == Duration{18500});
    CHECK(ended.isCallClosed);
    CHECK(*ended.rateUsedFraction == doctest::Approx(0.85));
    CHECK(*ended.actualUnits == 3);
    CHECK(ended.load == std::vector<double>{3});
    const auto &listed = std::get<WorkerListUpdated>(std::get<Event>(batch.happenings[2].what));
    CHECK(listed.kind == WorkerListKind::cached);
    CHECK(listed.workers.at(0).state == WorkerState::draining);
    CHECK(listed.workers.at(0).group == WorkerGroupId{4});
    CHECK(listed.workers.at(0).startedAt == Timestamp{6100000});
    CHECK(std::get<AddToCountEnded>(std::get<Event>(batch.happenings[3].what)).total == 38);
    CHECK(batch.happenings[3].instance == InstanceNumber{4});
    CHECK(std::holds_alternative<Stopped>(batch.happenings[4].what));
}

TEST_CASE("actions are written field by field") {
    struct Row {
        Action action;
        const char *record;
    };
    const Row rows[] = {
        {SendTry{{0x000b08315d3a91c4}, {0x03124a07}, Timestamp{8412250}},
         "0a 00000003 000b08315d3a91c4 40c06e2000000000 03124a07"},
        {AnswerRateLimited{{1}, std::nullopt}, "14 00000003 0000000000000001 0000000000000000"},
        {AnswerErrored{{1}}, "1e 00000003 0000000000000001"},
        {CancelTry{{1}, {2}}, "28 00000003 0000000000000001 02"},
        {SetTimer{Timestamp{8412250}, {0x4d}}, "32 00000003 40c06e2000000000 000000000000004d"},
        {ProbeWorker{{7}}, "3c 00000003 00000007"},
        {CloseIdleConnections{{7}}, "46 00000003 00000007"},
        {SendPeerMessage{std::nullopt, {std::byte{0x68}}}, "50 00000003 ffffffff 0001 68"},
        {WriteLog{"hi"}, "5a 00000003 0002 6869"},
        {WatchWorkerList{true}, "6e 00000003 01"},
        {FetchWorkerList{}, "78 00000003"},
        {AddToCount{{0x89f690}, 4, Duration{8412250}},
         "82 00000003 40c06e2000000000 000000000089f690 40800000"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.record);
        Reply reply;
        reply.add({3}, row.action);
        CHECK(reply.frame().substr(4) == bytes(row.record));
    }
}

TEST_CASE("bad input ends with one plain line, no part of a reply and a failing exit") {
    struct Row {
        const char *name;
        std::string input;
        int exit;
        const char *says;
    };
    const Row rows[] = {
        {"nothing", "", 0, ""},
        {"an empty batch", frame(""), 0, ""},
        {"a start", frame(start(settings)), 0, ""},
        {"a restart in one batch", frame(start(settings) + bytes("32 00000003") + start(settings)), 0, ""},
        {"half a length", std::string(2, '\0'), 1, "in the middle of a length"},
        {"half a frame", frame("").substr(0, 9), 1, "in the middle of a frame"},
        {"a frame too long", bytes("ffffffff 00"), 1, "too long"},
        {"half a record", frame(bytes("46 00000003 00")), 1, "in the middle of a record"},
        {"an unknown event", frame(bytes("c8 00000003")), 1, "unknown event code 200"},
        {"an unknown outcome", frame(bytes("3c 00000003 0000000000000001 0001 00000000 0000000000000000")), 1,
         "unknown outcome 1"},
        {"no number for a clock", bytes("00000008 7ff8000000000000"), 1, "no sensible number"},
        {"nobody there", frame(bytes("46 00000003 0000000000000001")), 1, "instance 3"},
        {"settings that are no JSON", frame(start("{")), 1, "settings: "},
        {"settings without routes", frame(start(R"({"balancers":2,"rules":{}})")), 1, "classes"},
        {"settings of a wrong kind", frame(start(R"({"balancers":"two"})")), 1, "settings: "},
        {"an unknown effect", frame(start(R"({"balancers":1,"rules":{},"classes":[{"effect":"odd"}]})")), 1,
         "odd"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::istringstream in(row.input);
        std::ostringstream out, complaints;
        CHECK(serve(in, out, complaints) == row.exit);
        const std::string said = complaints.str();
        CHECK(said.find(row.says) != std::string::npos);
        CHECK(std::count(said.begin(), said.end(), '\n') == row.exit);
        CHECK((row.input.empty() || row.exit == 1) == out.str().empty());
    }
}

TEST_CASE("settings become facts, and unknown keys are skipped") {
    const EngineSettings facts = readSettings(settings).engine;
    CHECK(facts.gatewayCount == 2);
    CHECK(facts.routes.at(0).effect == Effect::tokened);
    CHECK(facts.routes.at(0).dedupScope == DedupScope::zone);
    CHECK(facts.routes.at(0).latencyTarget == Duration{500000});
    CHECK(facts.loadReportMode == LoadReportMode::byProbe);
    CHECK(facts.loadColumns == std::vector{LoadMetric::inFlight, LoadMetric::other});
    CHECK(!facts.mayUseCounter);
}
