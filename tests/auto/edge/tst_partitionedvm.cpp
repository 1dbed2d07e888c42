#include "testenvironment.h"

#include <edge/clock.h>
#include <edge/upstreams.h>

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;

TEST_CASE(
    "Callers of a VM that is partitioned from all upstreams are served as those of others", "[partitionedvm]")
{
    // Requests hung or were rejected at such a VM though all others reached the upstreams.
    const char* const path = GENERATE("/safe/1", "/unsafe/1", "/key/1");
    INFO(path);
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3" })
        addUpstream(environment, id, "plain");
    for (const char* id : { "k-1", "k-2" })
        addUpstream(environment, id, "keyed", true);
    startReadyVm(environment);
    Edge::Service& cut = startVm(environment);
    startVm(environment);
    REQUIRE(runUntil(environment, [&cut] { return cut.node.relay.members.size() == 3; }));
    runFor(environment, 2000ms);
    CallerRequest request;
    request.path = path;
    request.key = 100;
    REQUIRE(sendRequest(environment, cut, request).status == 200);
    // No upstream listens at this offset: new connections are refused. Existing ones are closed.
    cut.node.settings.upstreamPortOffset = 1;
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        Edge::closeIdleUpstreamConnections(cut.node, { upstream->standIn.id });
    const Utils::Instant cutAt = Edge::now();
    constexpr Utils::Duration stability = 3s;
    while (Edge::now() - cutAt < stability) {
        sendRequest(environment, cut, request);
        sendRequest(environment, cut, {});
        runFor(environment, 50ms);
    }
    constexpr unsigned requests = 30;
    unsigned served = 0;
    for (unsigned number = 0; number < requests; ++number)
        served += sendRequest(environment, cut, request).status == 200 ? 1 : 0;
    CHECK(served * 3 >= requests * 2);
}
