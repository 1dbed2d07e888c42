#include <platform/grantcalls.h>

#include <catch2/catch.hpp>

using namespace Platform;
using namespace std::chrono_literals;

TEST_CASE("Grant and release requests have the target, headers and body that servers expect", "[grantcalls]")
{
    const Routing::Endpoint endpoint { "10.0.0.1", 80 };
    const Utils::UpstreamId server { "i-1" };
    const HttpRequest grant = makeGrantRequest(endpoint, server, { { 4096, 8191 }, 12, 4s, "5c0e" });
    CHECK(grant.target() == "/grant");
    CHECK(grant["X-Expect-Instance"] == "i-1");
    CHECK(grant[boost::beast::http::field::content_type] == "application/json");
    CHECK(grant.body() == R"({"from":4096,"to":8191,"fence":12,"hold_time":"4000ms","handover":"5c0e"})");
    CHECK(makeGrantRequest(endpoint, server, { { 0, 1 }, 1, 1s, "" }).body()
        == R"({"from":0,"to":1,"fence":1,"hold_time":"1000ms"})");
    const HttpRequest release = makeReleaseRequest(endpoint, server, { 4096, 8191 }, 13);
    CHECK(release.target() == "/release");
    CHECK(release["X-Expect-Instance"] == "i-1");
    CHECK(release.body() == R"({"from":4096,"to":8191,"fence":13})");
    CHECK(isFencedOff(409));
    CHECK_FALSE(isFencedOff(400));
}
