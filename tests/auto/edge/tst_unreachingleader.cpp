#include "testenvironment.h"

#include <edge/clock.h>
#include <edge/upstreamreach.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

/// An offset at which no upstream listens: new connections are refused.
constexpr std::uint16_t unusedPortOffset = 1;

bool isLeading(const Edge::Service& vm)
{
    return Granting::holdsLeaderLease(vm.node.leader.leadership, Edge::now());
}

bool holdAnyKeys(const TestEnvironment& environment)
{
    const std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();
    return std::any_of(environment.upstreams.begin(), environment.upstreams.end(),
        [at](const std::unique_ptr<TestUpstream>& upstream) {
            return std::any_of(upstream->standIn.held.begin(), upstream->standIn.held.end(),
                [at](const StandInServer::HeldKeys& keys) { return keys.until > at; });
        });
}

/// Sends a request through \a cut, so that it notices that it is cut, and a keyed one through \a other.
unsigned sendPair(TestEnvironment& environment, const Edge::Service& cut, const Edge::Service& other)
{
    sendRequest(environment, cut, {});
    CallerRequest keyed;
    keyed.path = "/key/1";
    keyed.key = 100;
    return sendRequest(environment, other, keyed).status;
}

} // namespace

TEST_CASE("A leader that reaches no upstream leaves the lease to a VM that does", "[unreachingleader]")
{
    // Guards against key leases that expire on all VMs because the leader alone is cut off.
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3" })
        addUpstream(environment, id, "plain");
    for (const char* id : { "k-1", "k-2" })
        addUpstream(environment, id, "keyed", true);
    Edge::Service& first = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&] { return holdAnyKeys(environment); }));
    Edge::Service& second = startVm(environment);
    REQUIRE(runUntil(environment, [&] { return second.node.relay.isSubscribed; }));
    REQUIRE(isLeading(first));
    // Existing connections of the leader's calls are closed as well.
    first.node.settings.upstreamPortOffset = unusedPortOffset;
    first.node.calls.idleConnections.clear();
    const Utils::Instant cutAt = Edge::now();
    while (!isLeading(second) && Edge::now() - cutAt < 4s)
        sendPair(environment, first, second);
    CHECK(isLeading(second));
    CHECK_FALSE(isLeading(first));
    // Longer than the key leases that the former leader granted last.
    unsigned served = 0;
    constexpr unsigned requests = 70;
    for (unsigned request = 0; request < requests; ++request) {
        served += sendPair(environment, first, second) == 200 ? 1 : 0;
        runFor(environment, 100ms);
    }
    CHECK(served >= requests * 9 / 10);
    // The cut VM does not take the lease back.
    CHECK(isLeading(second));
}

TEST_CASE("A leader without requests of its own notices by its grants that it reaches no upstream",
    "[unreachingleader]")
{
    TestEnvironment environment;
    for (const char* id : { "k-1", "k-2", "k-3", "k-4" })
        addUpstream(environment, id, "keyed", true);
    Edge::Service& first = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&] { return holdAnyKeys(environment); }));
    Edge::Service& second = startVm(environment);
    REQUIRE(runUntil(environment, [&] { return second.node.relay.isSubscribed && isLeading(first); }));
    first.node.settings.upstreamPortOffset = unusedPortOffset;
    first.node.calls.idleConnections.clear();
    CHECK(runUntil(
        environment, [&second] { return isLeading(second); }, 4000ms));
    CHECK(holdAnyKeys(environment));
}

TEST_CASE("A VM that reaches no upstream does not take a free lease", "[unreachingleader]")
{
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3" })
        addUpstream(environment, id, "plain");
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&vm] { return isLeading(vm); }));
    vm.node.settings.upstreamPortOffset = unusedPortOffset;
    REQUIRE(runUntil(environment, [&] {
        sendRequest(environment, vm, {});
        return Edge::isReachLost(vm.node);
    }));
    runFor(environment, 3500ms);
    CHECK_FALSE(isLeading(vm));
    vm.node.settings.upstreamPortOffset = 0;
    CHECK(runUntil(
        environment, [&vm] { return isLeading(vm); }, 2000ms));
}

TEST_CASE("A VM that is cut off and has not noticed takes no free lease", "[unreachingleader]")
{
    // Without requests, no link of the VM fails that could tell it.
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3" })
        addUpstream(environment, id, "plain");
    addUpstream(environment, "k-1", "keyed", true);
    Edge::Service& first = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&] { return holdAnyKeys(environment); }));
    Edge::Service& second = startVm(environment);
    REQUIRE(runUntil(environment, [&] { return second.node.relay.isSubscribed; }));
    REQUIRE(isLeading(first));
    second.node.settings.upstreamPortOffset = unusedPortOffset;
    killVm(environment, 0);
    CHECK_FALSE(runUntil(
        environment, [&second] { return isLeading(second); }, 6000ms));
    second.node.settings.upstreamPortOffset = 0;
    CHECK(runUntil(
        environment, [&second] { return isLeading(second); }, 1000ms));
}
