#include "testenvironment.h"

#include <edge/clock.h>
#include <edge/leaving.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

using Instant = std::chrono::steady_clock::time_point;

/// Arrivals later than this after a response that said that the upstream leaves; the platform allows its
/// drain time.
constexpr std::chrono::milliseconds drain = 2500ms;
constexpr std::chrono::milliseconds requestGap = 25ms;
constexpr std::chrono::milliseconds duration = 6000ms;

enum class StoreState { Available, Away };

struct Row {
    const char* name;
    bool keyed;
    StoreState store;
    std::size_t vms;
};

void recordArrivals(TestUpstream& upstream, std::vector<Instant>& arrivals)
{
    const StandInSupport::HttpHandler regular = upstream.httpServer.handler;
    upstream.httpServer.handler = [&arrivals, regular](const StandInSupport::HttpRequest& request,
                                      const StandInSupport::ReplyFunction& reply) {
        if (request.path != "/grant" && request.path != "/release")
            arrivals.push_back(std::chrono::steady_clock::now());
        regular(request, reply);
    };
}

bool areKeysServed(const Edge::Service& vm)
{
    const auto keyed = vm.node.clusterView.assignments.find({ "keyed" });
    return keyed != vm.node.clusterView.assignments.end() && !keyed->second.segments.empty()
        && std::all_of(keyed->second.segments.begin(), keyed->second.segments.end(),
            [](const Granting::Segment& segment) { return segment.isConfirmed; });
}

} // namespace

TEST_CASE("An upstream that says that it leaves gets no requests after the drain time", "[leavingupstreams]")
{
    const Row row = GENERATE(values<Row>({
        { "without keys", false, StoreState::Available, 2 },
        { "without keys, store away", false, StoreState::Away, 2 },
        { "with keys", true, StoreState::Available, 2 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    for (const char* id : { "i-1", "i-2", "i-3" })
        addUpstream(environment, id, "plain");
    for (const char* id : { "k-1", "k-2", "k-3" })
        addUpstream(environment, id, "keyed", true);
    TestUpstream& leaving = *environment.upstreams[row.keyed ? 3 : 0];
    std::vector<Instant> arrivals;
    recordArrivals(leaving, arrivals);
    startReadyVm(environment);
    while (environment.vms.size() < row.vms)
        startVm(environment);
    REQUIRE(runUntil(environment, [&] {
        return std::all_of(
            environment.vms.begin(), environment.vms.end(), [&](const std::unique_ptr<Edge::Service>& vm) {
                return vm->node.clusterView.directoryLoaded && areKeysServed(*vm);
            });
    }));
    environment.store.faults.outage = row.store == StoreState::Away;
    leaving.standIn.leaving = true;
    const Instant start = std::chrono::steady_clock::now();
    std::size_t sent = 0;
    std::size_t served = 0;
    while (std::chrono::steady_clock::now() - start < duration) {
        CallerRequest request;
        request.path = row.keyed ? "/key/1" : "/safe/1";
        if (row.keyed)
            request.key = static_cast<unsigned>(sent * 997 % 65536);
        served += sendRequest(environment, *environment.vms[sent % row.vms], request).status == 200 ? 1 : 0;
        ++sent;
        runFor(environment, requestGap);
    }
    CHECK(served == sent);
    REQUIRE_FALSE(arrivals.empty());
    const Instant named = *std::find_if(
        arrivals.begin(), arrivals.end(), [start](const Instant& arrival) { return arrival >= start; });
    CHECK(arrivals.back() - named < drain);
}

TEST_CASE("An upstream that starts again under its id is not leaving", "[leavingupstreams]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    upstream.standIn.leaving = true;
    CHECK(sendRequest(environment, vm, {}).status == 200);
    runFor(environment, drain);
    CHECK(sendRequest(environment, vm, {}).status == 503);
    upstream.standIn.leaving = false;
    upstream.startTimeMs += 1;
    publishUpstreamEntry(environment, upstream);
    runFor(environment, 1500ms);
    CHECK(sendRequest(environment, vm, {}).status == 200);
}

TEST_CASE("A response to another request does not say that an upstream leaves", "[leavingupstreams]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    const StandInSupport::HttpHandler regular = upstream.httpServer.handler;
    upstream.httpServer.handler
        = [regular](const StandInSupport::HttpRequest& request, const StandInSupport::ReplyFunction& reply) {
              regular(request, [reply](StandInSupport::HttpReply answer) {
                  answer.extra
                      = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: another\r\nX-Not-Executed: 1\r\n"
                        "Server-Leaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
                  reply(answer);
              });
          };
    CHECK(sendRequest(environment, vm, {}).status == 200);
    runFor(environment, drain);
    CHECK(sendRequest(environment, vm, {}).status == 200);
}

TEST_CASE(
    "A VM that subscribes again tells the relay source which upstreams are leaving", "[leavingupstreams]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Service& leader = startReadyVm(environment);
    // Either of two VMs that start together may lead.
    REQUIRE(runUntil(environment,
        [&leader] { return Granting::holdsLeaderLease(leader.node.leader.leadership, Edge::now()); }));
    Edge::Service& subscriber = startVm(environment);
    REQUIRE(runUntil(
        environment, [&] { return subscriber.node.relay.isSubscribed; }, 4000ms));
    const auto isKnownToLeader = [&leader] { return leader.node.leaving.upstreams.byId.contains({ "i-1" }); };
    Edge::recordUpstreamLeaving(subscriber.node, { "i-1" }, 1);
    REQUIRE(runUntil(environment, isKnownToLeader, 2000ms));
    // As if another VM had become the leader.
    Edge::forgetUpstreamLeaving(leader.node, { "i-1" }, 2);
    for (auto it = leader.node.relay.subscribers.begin(); it != leader.node.relay.subscribers.end(); ++it)
        it->second->socket.close();
    CHECK(runUntil(environment, isKnownToLeader, 5000ms));
}
