#include "testenvironment.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

bool areAllSegmentsConfirmed(const Edge::Service& vm)
{
    const auto found = vm.node.clusterView.assignments.find({ "keyed" });
    if (found == vm.node.clusterView.assignments.end())
        return false;
    return std::all_of(found->second.segments.begin(), found->second.segments.end(),
        [](const Granting::Segment& segment) { return segment.isConfirmed; });
}

CallerRequest makeKeyRequest(unsigned key)
{
    CallerRequest request;
    request.path = "/key/1";
    request.key = key;
    return request;
}

std::size_t countExecutedRequests(const TestEnvironment& environment)
{
    std::size_t executed = 0;
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        executed += upstream->standIn.ran.size();
    return executed;
}

} // namespace

TEST_CASE("Keys are granted, and each request reaches the holder of its key", "[keys]")
{
    TestEnvironment environment;
    for (const char* id : { "k-1", "k-2", "k-3" })
        addUpstream(environment, id, "keyed", true);
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&vm] { return areAllSegmentsConfirmed(vm); }));
    for (const unsigned key : { 0U, 21000U, 22000U, 43000U, 44000U, 65535U })
        CHECK(sendRequest(environment, vm, makeKeyRequest(key)).status == 200);
    CHECK(countExecutedRequests(environment) == 6);
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        CHECK(upstream->standIn.ran.size() == 2);
}

TEST_CASE("A draining holder hands its keys over, and no request is lost meanwhile", "[keys]")
{
    TestEnvironment environment;
    TestUpstream& drainingUpstream = addUpstream(environment, "k-1", "keyed", true);
    TestUpstream& remainingUpstream = addUpstream(environment, "k-2", "keyed", true);
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&vm] { return areAllSegmentsConfirmed(vm); }));
    publishUpstreamEntry(environment, drainingUpstream, "draining");
    runFor(environment, 50ms);
    for (int request = 0; request < 20; ++request) {
        CHECK(sendRequest(environment, vm, makeKeyRequest(100)).status == 200);
        runFor(environment, 20ms);
    }
    CHECK(drainingUpstream.standIn.releases >= 1);
    REQUIRE_FALSE(remainingUpstream.standIn.handovers.empty());
    CHECK(remainingUpstream.standIn.handovers.front().rfind("k-1", 0) == 0);
}

TEST_CASE("A holder that lost its keys without notice is granted them again", "[keys]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "k-1", "keyed", true);
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&vm] { return areAllSegmentsConfirmed(vm); }));
    upstream.standIn.held.clear();
    CHECK(runUntil(
        environment, [&upstream] { return !upstream.standIn.held.empty(); }, 2000ms));
    CHECK(sendRequest(environment, vm, makeKeyRequest(100)).status == 200);
}

TEST_CASE("A restarted holder is granted its keys with a higher fencing token", "[keys]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "k-1", "keyed", true);
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&vm] { return areAllSegmentsConfirmed(vm); }));
    const std::uint64_t previousToken = upstream.standIn.held.front().token;
    upstream.standIn.held.clear();
    upstream.startTimeMs = 2;
    upstream.sequenceNumber = 0;
    publishUpstreamEntry(environment, upstream);
    REQUIRE(runUntil(environment, [&upstream] { return !upstream.standIn.held.empty(); }));
    CHECK(upstream.standIn.held.front().token > previousToken);
}

TEST_CASE("An added upstream is granted keys", "[keys]")
{
    TestEnvironment environment;
    addUpstream(environment, "k-1", "keyed", true);
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&vm] { return areAllSegmentsConfirmed(vm); }));
    TestUpstream& joinedUpstream = addUpstream(environment, "k-2", "keyed", true);
    CHECK(runUntil(environment, [&joinedUpstream] { return !joinedUpstream.standIn.held.empty(); }));
}

TEST_CASE("Requests for the keys of an upstream stop at once when its address is reused", "[keys]")
{
    // Guards against exceeding the retry budget: upstreams became unresponsive and their addresses were
    // assigned to another service, which saw each request for their keys as a retry.
    TestEnvironment environment;
    TestUpstream& terminated = addUpstream(environment, "k-1", "keyed", true);
    TestUpstream& other = addUpstream(environment, "k-2", "keyed", true);
    Edge::Service& vm = startReadyVm(environment);
    // The first VM leads, as it is alone.
    REQUIRE(runUntil(environment, [&vm] { return areAllSegmentsConfirmed(vm); }));
    Edge::Service& second = startVm(environment);
    REQUIRE(runUntil(environment, [&] {
        return areAllSegmentsConfirmed(vm) && areAllSegmentsConfirmed(second)
            && second.node.relay.isSubscribed;
    }));
    terminated.standIn.id = "x-9";
    terminated.standIn.keyed = false;
    terminated.standIn.held.clear();
    const unsigned before = terminated.standIn.arrivals;
    // Through a VM that is not the leader.
    for (int request = 0; request < 10; ++request)
        CHECK(sendRequest(environment, second, makeKeyRequest(100)).status == 200);
    CHECK(terminated.standIn.arrivals - before <= 1);
    CHECK(other.standIn.ran.size() == 10);
    // The termination was reported to the leader.
    CHECK(vm.node.clusterView.directory.entries.at({ "k-1" }).isExpired);
}

TEST_CASE("A new leader does not wait for key leases of upstreams whose addresses are reused", "[keys]")
{
    // Guards against keys without a holder: a quarter of the upstreams terminated and their addresses were
    // reused while there was no leader. 19,000 keys then had no holder for 30 s, as each new leader waited
    // for the maximum key lease again.
    TestEnvironment environment;
    TestUpstream& terminated = addUpstream(environment, "k-1", "keyed", true);
    TestUpstream& other = addUpstream(environment, "k-2", "keyed", true);
    Edge::Service& first = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&first] { return areAllSegmentsConfirmed(first); }));
    Edge::Service& second = startVm(environment);
    REQUIRE(runUntil(environment, [&] {
        return areAllSegmentsConfirmed(first) && areAllSegmentsConfirmed(second)
            && second.node.relay.isSubscribed;
    }));
    killVm(environment, 0);
    removeUpstreamEntry(environment, terminated);
    terminated.standIn.id = "x-9";
    terminated.standIn.keyed = false;
    terminated.standIn.held.clear();
    terminated.service = "plain";
    ++terminated.startTimeMs;
    publishUpstreamEntry(environment, terminated);
    const auto allHeldByOther = [&] {
        const std::vector<Granting::Segment>& segments
            = second.node.clusterView.assignments.at({ "keyed" }).segments;
        return areAllSegmentsConfirmed(second)
            && std::all_of(segments.begin(), segments.end(),
                [](const Granting::Segment& segment) { return segment.holder.value == "k-2"; });
    };
    CHECK(runUntil(environment, allHeldByOther, 5000ms));
    CHECK_FALSE(other.standIn.held.empty());
}
