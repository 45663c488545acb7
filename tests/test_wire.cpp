/// \file
/// Tests of the simulator adapter's frames and of the settings that it reads.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <sstream>

#include "engine_host.hpp"
#include "settings.hpp"

using namespace arrowstile;
using namespace arrowstile::simhost;

namespace {

/// Converts hexadecimal digits in lower case to bytes; spaces are ignored.
std::string fromHex(std::string_view hex) {
    std::string out;
    int highDigit = -1;  // first digit of the current byte; -1: not read yet
    for (const char c : hex) {
        if (c == ' ') continue;
        const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
        if (highDigit >= 0) out.push_back(static_cast<char>(highDigit * 16 + digit));
        highDigit = highDigit >= 0 ? -1 : digit;
    }
    return out;
}

/// The time field of a request frame, 8412.25 ms, in hexadecimal.
const std::string kFrameTimeHex = "40c06e2000000000 ";
/// Valid settings with an unknown load column and an unknown key.
const std::string kSettingsJson =
    R"({"balancers":2,"classes":[{"effect":"keyed","keyScope":"zone","onTimeMs":500,"deadlineMs":2000}],
        "report":{"how":"pull","columns":["rif","never heard of"]},"rules":{},"new":{"key":1}})";

/// Record that starts instance 3 with seed 7. The settings must be shorter than 64 KiB.
std::string startRecord(std::string_view settings) {
    std::string out = fromHex("1e 00000003 0000000000000007") + std::string("\0\0", 2);
    out.push_back(static_cast<char>(settings.size() >> 8));
    out.push_back(static_cast<char>(settings.size() & 0xff));
    return out + std::string(settings);
}

/// Request frame with the time kFrameTimeHex and the given records, shorter than 64 KiB.
std::string requestFrame(std::string_view records) {
    const std::size_t size = records.size() + 8;  // with the time field
    std::string out{0, 0, static_cast<char>(size >> 8), static_cast<char>(size & 0xff)};
    return out + fromHex(kFrameTimeHex) + std::string(records);
}

}  // namespace

TEST_CASE("decodeRequestFrame reads the time, the records and their fields") {
    const RequestFrame frame = decodeRequestFrame(
        fromHex(kFrameTimeHex +
                "5a 00000003 000b08315d3a91c4 3f800000 406e000000000000 0002 40000000 40400000 01 0006 "
                "91f03b7c55d20a64"
                "0a 00000003 000b08315d3a91c4 01 03124a07 012f 4032800000000000 01 0056 0003 01 40400000"
                "64 00000003 03 0000000000000029 00000001 2c9011f2 01 02 0004 02 3fc00000 40b7d40000000000"
                "3c 00000004 000000000089f690 0064 42180000 4001333333333333 32 00000003"));
    REQUIRE(frame.records.size() == 5);
    CHECK(frame.now == Timestamp{8412250});
    const auto &received = std::get<CallReceived>(std::get<Event>(frame.records[0].content));
    CHECK(received.call == CallId{0x000b08315d3a91c4});
    CHECK(received.gatewaySubsetStart == 1);
    CHECK(received.timeRemaining == Duration{240000});
    CHECK(received.plan == PlanId{2});
    CHECK(received.units == 2);
    CHECK(received.gatewaySubsetSize == 3);
    CHECK(received.route == RouteId{1});
    CHECK(received.isClientRetry);
    CHECK(received.isWrite);
    CHECK(received.customer == CustomerId{0x91f03b7c55d20a64});
    const auto &ended = std::get<TryEnded>(std::get<Event>(frame.records[1].content));
    CHECK(ended.outcome == Outcome::timedOut);
    CHECK(ended.latency == Duration{18500});
    CHECK(ended.isCallClosed);
    CHECK(*ended.rateUsedFraction == doctest::Approx(0.85));
    CHECK(*ended.actualUnits == 3);
    CHECK(ended.load == std::vector<double>{3});
    const auto &update = std::get<WorkerListUpdated>(std::get<Event>(frame.records[2].content));
    CHECK(update.kind == WorkerListKind::cached);
    CHECK(update.workers.at(0).state == WorkerState::draining);
    CHECK(update.workers.at(0).group == WorkerGroupId{4});
    CHECK(update.workers.at(0).startedAt == Timestamp{6100000});
    CHECK(std::get<AddToCountEnded>(std::get<Event>(frame.records[3].content)).total == 38);
    CHECK(frame.records[3].instance == InstanceId{4});
    CHECK(std::holds_alternative<StopInstance>(frame.records[4].content));
}

TEST_CASE("ReplyFrame writes each action as a record of code, instance and fields") {
    struct Row {
        Action action;
        const char *recordHex;
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
        CAPTURE(row.recordHex);
        ReplyFrame reply;
        reply.add({3}, row.action);
        CHECK(reply.encode().substr(4) == fromHex(row.recordHex));
    }
}

TEST_CASE("serve replies to valid frames, and ends on invalid input with one line of error and no reply") {
    struct Row {
        const char *name;
        std::string input;
        int exitCode;
        const char *errorPart;
    };
    const Row rows[] = {
        {"empty input", "", 0, ""},
        {"frame without records", requestFrame(""), 0, ""},
        {"start of an instance", requestFrame(startRecord(kSettingsJson)), 0, ""},
        {"start, stop and start of an instance in one frame",
         requestFrame(startRecord(kSettingsJson) + fromHex("32 00000003") + startRecord(kSettingsJson)), 0,
         ""},
        {"input ends in a length field", std::string(2, '\0'), 1, "in the middle of a length"},
        {"input ends in a frame", requestFrame("").substr(0, 9), 1, "in the middle of a frame"},
        {"frame longer than the maximum", fromHex("ffffffff 00"), 1, "too long"},
        {"frame ends in a record", requestFrame(fromHex("46 00000003 00")), 1, "in the middle of a record"},
        {"unknown event code", requestFrame(fromHex("c8 00000003")), 1, "unknown event code 200"},
        {"unknown outcome code",
         requestFrame(fromHex("3c 00000003 0000000000000001 0001 00000000 0000000000000000")), 1,
         "unknown outcome 1"},
        {"time that is not a number (NaN)", fromHex("00000008 7ff8000000000000"), 1, "no sensible number"},
        {"event for an instance that is not running", requestFrame(fromHex("46 00000003 0000000000000001")),
         1, "instance 3"},
        {"settings that are not valid JSON", requestFrame(startRecord("{")), 1, "settings: "},
        {"settings without the required key of the routes",
         requestFrame(startRecord(R"({"balancers":2,"rules":{}})")), 1, "classes"},
        {"settings with a value of the wrong type", requestFrame(startRecord(R"({"balancers":"two"})")), 1,
         "settings: "},
        {"settings with an unknown effect",
         requestFrame(startRecord(R"({"balancers":1,"rules":{},"classes":[{"effect":"odd"}]})")), 1, "odd"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        std::istringstream in(row.input);
        std::ostringstream out, errors;
        CHECK(serve(in, out, errors) == row.exitCode);
        const std::string errorText = errors.str();
        CHECK(errorText.find(row.errorPart) != std::string::npos);
        // One line of error exactly if the exit code is 1.
        CHECK(std::count(errorText.begin(), errorText.end(), '\n') == row.exitCode);
        // No reply exactly if the input is empty or invalid.
        CHECK((row.input.empty() || row.exitCode == 1) == out.str().empty());
    }
}

TEST_CASE("readSettings fills in the engine settings and ignores unknown keys") {
    const EngineSettings engineSettings = readSettings(kSettingsJson).engine;
    CHECK(engineSettings.gatewayCount == 2);
    CHECK(engineSettings.routes.at(0).effect == Effect::tokened);
    CHECK(engineSettings.routes.at(0).dedupScope == DedupScope::zone);
    CHECK(engineSettings.routes.at(0).latencyTarget == Duration{500000});
    CHECK(engineSettings.loadReportMode == LoadReportMode::byProbe);
    CHECK(engineSettings.loadColumns == std::vector{LoadMetric::inFlight, LoadMetric::other});
    CHECK(!engineSettings.mayUseCounter);
}
