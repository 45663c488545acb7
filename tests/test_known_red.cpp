/// \file
/// Tests that fail because of faults that are not mended yet: see KNOWN-RED.txt. CI expects this program to
/// fail.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "gateway_fixture.hpp"

using namespace arrowstile;
using namespace arrowstile::testing;

namespace {

/// The name of the count that a gateway adds a call to, if it starts with a system clock wrong by so much.
std::string countNameWithClockStep(int stepSeconds) {
    stepSystemClock(stepSeconds);
    GatewayFixture fixture;
    const Socket client = fixture.makeReadyAndConnect();
    client.write(apiCall("status", 1000));
    const std::string request = fixture.counterListener.accept().read(kHttpHeaderEnd);
    stepSystemClock(0);
    return request.substr(0, request.find('?'));
}

}  // namespace

// Guards against a gateway that started with a wrong clock and counts apart from all others.
TEST_CASE("issue 19: a gateway that starts with a wrong system clock names its counts like the others") {
    const std::string name = countNameWithClockStep(0);
    CHECK(name.starts_with("POST /v2/numbers/"));
    CHECK(countNameWithClockStep(3600) == name);
    CHECK(countNameWithClockStep(-3600) == name);
}
