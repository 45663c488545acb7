/// \file
/// Tests of the decisions of a planned stop.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <arrowstile/planned_stop.hpp>
#include <vector>

using namespace arrowstile;

namespace {

using std::chrono::milliseconds;

constexpr Duration kHoldUp = milliseconds(150);
/// From the longest client timeout to the earliest kill.
constexpr Duration kKillMargin = milliseconds(700);

Timestamp at(int ms) { return Timestamp{} + milliseconds(ms); }

/// The states of a connection that the tables use.
constexpr DrainState kResting{.hasReadAllInput = true};
constexpr DrainState kPending{.isAwaitingAnswers = true, .isOwedAnswers = true, .hasReadAllInput = true};
constexpr DrainState kUnconfirmed{.isOwedAnswers = true, .hasReadAllInput = true};

/// What the drain of a connection is asked at a time, and what it has to answer.
struct DrainCase {
    int atMs;
    DrainState state;
    DrainStep expected;
};

void check(const std::vector<DrainCase> &cases) {
    ConnectionDrain drain;
    for (const DrainCase &entry : cases) {
        CAPTURE(entry.atMs);
        CHECK(drain.next(at(entry.atMs), at(500), entry.state) == entry.expected);
    }
}

}  // namespace

TEST_CASE(
    "a planned stop has an end before the earliest kill, also if it is held up for 0.15 s right before") {
    for (const int timeoutMs : {1, 500, 1490, 3000, 60000}) {
        CAPTURE(timeoutMs);
        const PlannedStop stop(at(0), milliseconds(timeoutMs));
        const Timestamp kill = at(std::min(timeoutMs, 3000)) + kKillMargin;
        CHECK(stop.mustAnswerPendingCalls(kill - kHoldUp - milliseconds(60)));
        CHECK(stop.mustEnd(kill - kHoldUp, at(0)));
        // The last answers can still be fetched after a hold-up that ends then.
        CHECK(!stop.mustEnd(kill - kHoldUp, kill - kHoldUp));
        CHECK(stop.mustEnd(kill - milliseconds(1), kill - milliseconds(50)));
    }
}

TEST_CASE(
    "pending calls are not answered before a call that was taken right before the drain has had its time") {
    const PlannedStop stop(at(0), milliseconds(2000));
    CHECK(!stop.mustAnswerPendingCalls(at(2460)));
    CHECK(!stop.mustEnd(at(2520), at(2480)));
}

TEST_CASE("the listener is closed when clients have stopped to connect, and though they go on") {
    const PlannedStop stop(at(0), milliseconds(2000));
    CHECK(!stop.mustCloseListener(at(490), at(0)));
    CHECK(stop.mustCloseListener(at(500), at(300)));
    CHECK(!stop.mustCloseListener(at(590), at(400)));
    CHECK(stop.mustCloseListener(at(600), at(599)));
    CHECK(!stop.mayLeaveClientsWaiting(at(690)));
    CHECK(stop.mayLeaveClientsWaiting(at(700)));
}

TEST_CASE("a connection that is accepted late is served before it is drained") {
    const PlannedStop stop(at(0), milliseconds(2000));
    CHECK(stop.drainStart(at(-5000)) == at(500));
    CHECK(stop.drainStart(at(300)) == at(500));
    CHECK(stop.drainStart(at(590)) == at(690));
}

TEST_CASE("a connection that rests is ended when the drain begins") {
    check({{490, kResting, DrainStep::takeCommands},
           {500, kResting, DrainStep::end},
           {510, kResting, DrainStep::end}});
}

TEST_CASE("a busy connection is ended when the calls that were read are answered") {
    check({{500, kPending, DrainStep::leaveUnread},
           {530, kPending, DrainStep::leaveUnread},
           {540, kResting, DrainStep::end}});
}

TEST_CASE("commands do not lie unread behind a call that takes long, they are refused until it is answered") {
    check({{500, kPending, DrainStep::leaveUnread},
           {550, kPending, DrainStep::refuseCommands},
           {2900, kPending, DrainStep::refuseCommands},
           {2910, kResting, DrainStep::end}});
}

TEST_CASE(
    "a client that sends without pause is ended though its refusals are never all confirmed while reading") {
    check({{500, kPending, DrainStep::leaveUnread},
           {550, kPending, DrainStep::refuseCommands},
           {700, kUnconfirmed, DrainStep::leaveUnread},
           {710, kUnconfirmed, DrainStep::leaveUnread},
           {720, kResting, DrainStep::end}});
    const DrainState flooding{.isOwedAnswers = true};
    check({{500, kPending, DrainStep::leaveUnread},
           {550, flooding, DrainStep::refuseCommands},
           {600, flooding, DrainStep::leaveUnread},
           {610, kResting, DrainStep::end}});
}

TEST_CASE("commands that lay unread through a hold-up are read and refused before the end") {
    check({{500, kPending, DrainStep::leaveUnread},
           {660, kResting, DrainStep::refuseCommands},
           {670, kUnconfirmed, DrainStep::leaveUnread},
           {680, kResting, DrainStep::end}});
}

TEST_CASE(
    "input that was not read when the drain begins is read before the end, those of a pause are refused") {
    check({{500, DrainState{}, DrainStep::refuseCommands}, {510, kResting, DrainStep::end}});
    const DrainState held{.isAwaitingAnswers = true, .isOwedAnswers = true, .isReadPaused = true};
    check({{500, held, DrainStep::refuseCommands},
           {800, held, DrainStep::refuseCommands},
           {810, DrainState{.isReadPaused = true, .hasReadAllInput = true}, DrainStep::leaveUnread},
           {820, kResting, DrainStep::end}});
}
