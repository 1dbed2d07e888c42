#include "testenvironment.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

bool isSettled(const Edge::Service& vm)
{
    const auto found = vm.node.clusterView.assignments.find({ "keyed" });
    if (found == vm.node.clusterView.assignments.end())
        return false;
    return std::all_of(found->second.segments.begin(), found->second.segments.end(),
        [](const Granting::Segment& segment) { return segment.isConfirmed; });
}

CallerRequest keyQuestion(unsigned key)
{
    CallerRequest question;
    question.path = "/key/1";
    question.key = key;
    return question;
}

std::size_t ranOn(const TestEnvironment& world)
{
    std::size_t ran = 0;
    for (const std::unique_ptr<TestUpstream>& server : world.upstreams)
        ran += server->standIn.ran.size();
    return ran;
}

} // namespace

TEST_CASE("Keys are granted, and each request reaches the holder of its key", "[keys]")
{
    TestEnvironment world;
    for (const char* id : { "k-1", "k-2", "k-3" })
        addUpstream(world, id, "keyed", true);
    Edge::Service& vm = startReadyVm(world);
    REQUIRE(runUntil(world, [&vm] { return isSettled(vm); }));
    for (const unsigned key : { 0U, 21000U, 22000U, 43000U, 44000U, 65535U })
        CHECK(sendRequest(world, vm, keyQuestion(key)).status == 200);
    CHECK(ranOn(world) == 6);
    for (const std::unique_ptr<TestUpstream>& server : world.upstreams)
        CHECK(server->standIn.ran.size() == 2);
}

TEST_CASE("A holder that leaves hands its keys over, and no request is lost meanwhile", "[keys]")
{
    TestEnvironment world;
    TestUpstream& leaving = addUpstream(world, "k-1", "keyed", true);
    TestUpstream& staying = addUpstream(world, "k-2", "keyed", true);
    Edge::Service& vm = startReadyVm(world);
    REQUIRE(runUntil(world, [&vm] { return isSettled(vm); }));
    publishUpstreamEntry(world, leaving, "draining");
    runFor(world, 50ms);
    for (int request = 0; request < 20; ++request) {
        CHECK(sendRequest(world, vm, keyQuestion(100)).status == 200);
        runFor(world, 20ms);
    }
    CHECK(leaving.standIn.releases >= 1);
    REQUIRE_FALSE(staying.standIn.handovers.empty());
    CHECK(staying.standIn.handovers.front().rfind("k-1", 0) == 0);
}

TEST_CASE("A holder that lost its keys without notice gets them again", "[keys]")
{
    TestEnvironment world;
    TestUpstream& server = addUpstream(world, "k-1", "keyed", true);
    Edge::Service& vm = startReadyVm(world);
    REQUIRE(runUntil(world, [&vm] { return isSettled(vm); }));
    server.standIn.held.clear();
    CHECK(runUntil(
        world, [&server] { return !server.standIn.held.empty(); }, 2000ms));
    CHECK(sendRequest(world, vm, keyQuestion(100)).status == 200);
}

TEST_CASE("A new life of a holder gets its keys with a higher token", "[keys]")
{
    TestEnvironment world;
    TestUpstream& server = addUpstream(world, "k-1", "keyed", true);
    Edge::Service& vm = startReadyVm(world);
    REQUIRE(runUntil(world, [&vm] { return isSettled(vm); }));
    const std::uint64_t former = server.standIn.held.front().token;
    server.standIn.held.clear();
    server.startTimeMs = 2;
    server.sequenceNumber = 0;
    publishUpstreamEntry(world, server);
    REQUIRE(runUntil(world, [&server] { return !server.standIn.held.empty(); }));
    CHECK(server.standIn.held.front().token > former);
}

TEST_CASE("A server that joins gets keys", "[keys]")
{
    TestEnvironment world;
    addUpstream(world, "k-1", "keyed", true);
    Edge::Service& vm = startReadyVm(world);
    REQUIRE(runUntil(world, [&vm] { return isSettled(vm); }));
    TestUpstream& joined = addUpstream(world, "k-2", "keyed", true);
    CHECK(runUntil(world, [&joined] { return !joined.standIn.held.empty(); }));
}

TEST_CASE("Requests for the keys of an upstream whose address another has stop reaching it at once", "[keys]")
{
    // kuoo-brama-grown trouble-1 --vary --seed 526247903427: upstreams fell silent and their addresses went
    // to another service, which saw each request for their keys as a repeat (BUDGET).
    TestEnvironment world;
    TestUpstream& ended = addUpstream(world, "k-1", "keyed", true);
    TestUpstream& other = addUpstream(world, "k-2", "keyed", true);
    Edge::Service& vm = startReadyVm(world);
    Edge::Service& second = startVm(world);
    REQUIRE(runUntil(
        world, [&] { return isSettled(vm) && isSettled(second) && second.node.relay.isSubscribed; }));
    ended.standIn.id = "x-9";
    ended.standIn.keyed = false;
    ended.standIn.held.clear();
    const unsigned before = ended.standIn.arrivals;
    // Of a VM that does not lead.
    for (int request = 0; request < 10; ++request)
        CHECK(sendRequest(world, second, keyQuestion(100)).status == 200);
    CHECK(ended.standIn.arrivals - before <= 1);
    CHECK(other.standIn.ran.size() == 10);
    // The leader has learned of it.
    CHECK(vm.node.clusterView.directory.entries.at({ "k-1" }).isExpired);
}

TEST_CASE("A new leader does not wait for holds of upstreams whose addresses are in use again", "[keys]")
{
    // ppklj-gerbang-grown trouble-3, in two of three plays: a quarter of the upstreams ended and their
    // addresses were used again while no VM led; 19,000 keys then had no holder for 30 s, as each new leader
    // waited for the longest hold anew.
    TestEnvironment world;
    TestUpstream& ended = addUpstream(world, "k-1", "keyed", true);
    TestUpstream& other = addUpstream(world, "k-2", "keyed", true);
    Edge::Service& first = startReadyVm(world);
    Edge::Service& second = startVm(world);
    REQUIRE(runUntil(
        world, [&] { return isSettled(first) && isSettled(second) && second.node.relay.isSubscribed; }));
    killVm(world, 0);
    removeUpstreamEntry(world, ended);
    ended.standIn.id = "x-9";
    ended.standIn.keyed = false;
    ended.standIn.held.clear();
    ended.service = "plain";
    ++ended.startTimeMs;
    publishUpstreamEntry(world, ended);
    const auto allAtOther = [&] {
        const std::vector<Granting::Segment>& segments
            = second.node.clusterView.assignments.at({ "keyed" }).segments;
        return isSettled(second)
            && std::all_of(segments.begin(), segments.end(),
                [](const Granting::Segment& segment) { return segment.holder.value == "k-2"; });
    };
    CHECK(runUntil(world, allAtOther, 5000ms));
    CHECK_FALSE(other.standIn.held.empty());
}
