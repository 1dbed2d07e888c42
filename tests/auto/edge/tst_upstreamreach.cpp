#include "testenvironment.h"

#include <edge/upstreamreach.h>

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

/// An offset at which no upstream listens: new connections are refused.
constexpr std::uint16_t unusedPortOffset = 1;

} // namespace

TEST_CASE("A VM whose connections to all upstreams are refused notices it, and when they are not any more",
    "[upstreamreach]")
{
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3", "i-4", "i-5" })
        addUpstream(environment, id, "plain");
    Edge::Service& vm = startReadyVm(environment);
    CHECK(sendRequest(environment, vm, {}).status == 200);
    CHECK_FALSE(Edge::isReachLost(vm.node));
    vm.node.settings.upstreamPortOffset = unusedPortOffset;
    CHECK(runUntil(
        environment,
        [&] {
            sendRequest(environment, vm, {});
            return Edge::isReachLost(vm.node);
        },
        2000ms));
    vm.node.settings.upstreamPortOffset = 0;
    CHECK(runUntil(
        environment, [&vm] { return !Edge::isReachLost(vm.node); }, 1000ms));
    CHECK(sendRequest(environment, vm, {}).status == 200);
}

TEST_CASE("Upstreams that crash do not look like a cut VM while others are reached", "[upstreamreach]")
{
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3", "i-4", "i-5", "i-6" })
        addUpstream(environment, id, "plain");
    Edge::Service& vm = startReadyVm(environment);
    for (std::size_t upstream = 0; upstream < 4; ++upstream)
        StandInSupport::crash(environment.upstreams[upstream]->httpServer);
    for (int request = 0; request < 30; ++request) {
        sendRequest(environment, vm, {});
        CHECK_FALSE(Edge::isReachLost(vm.node));
    }
    CHECK(vm.node.reachProbing.losses == 0);
}

TEST_CASE("Without failures no probe is sent", "[upstreamreach]")
{
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3" })
        addUpstream(environment, id, "plain");
    Edge::Service& vm = startReadyVm(environment);
    for (int request = 0; request < 20; ++request)
        CHECK(sendRequest(environment, vm, {}).status == 200);
    CHECK(vm.node.reachProbing.lastProbeId == 0);
}
