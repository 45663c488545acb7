/// \file
/// Tests of the decision whether a call with a request id that was seen before may be taken.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <arrowstile/sent_request_ids.hpp>
#include <string>

using namespace arrowstile;
using std::chrono::seconds;

TEST_CASE("ids of calls that must not run twice are kept for a minute from when they were last sent") {
    SentRequestIds ids(10);
    ids.add("a", Effect::nonIdempotent, ClientId{7}, seconds(100));
    ids.add("b", Effect::tokened, ClientId{8}, seconds(110));
    ids.add("c", Effect::idempotent, ClientId{7}, seconds(110));
    CHECK(ids.clientOf("a", seconds(110)) == ClientId{7});
    CHECK(ids.clientOf("b", seconds(110)) == ClientId{8});
    CHECK_FALSE(ids.clientOf("c", seconds(110)));
    ids.add("b", Effect::tokened, ClientId{9}, seconds(150));
    CHECK(ids.clientOf("a", seconds(160)));
    CHECK_FALSE(ids.clientOf("a", seconds(161)));
    CHECK(ids.clientOf("b", seconds(210)) == ClientId{9});
    CHECK_FALSE(ids.clientOf("b", seconds(211)));
    CHECK(ids.size() == 0);
}

TEST_CASE("no more ids are kept than the capacity allows, the latest ones") {
    SentRequestIds ids(100);
    for (int index = 0; index < 1000; ++index)
        ids.add("id" + std::to_string(index), Effect::nonIdempotent, ClientId{7}, seconds(1));
    CHECK(ids.size() == 100);
    CHECK(ids.clientOf("id900", seconds(1)));
    CHECK_FALSE(ids.clientOf("id899", seconds(1)));
}
