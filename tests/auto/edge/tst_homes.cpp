#include "testenvironment.h"

#include <edge/upstreamreach.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t requestCount = 40;

/// Upstreams of both services in two regions; callers connect to VMs in the first one.
struct TwoRegions {
    explicit TwoRegions(const std::map<std::string, std::string>& homes = {})
    {
        this->environment.regionByZone = { { { "z1" }, { "r1" } }, { { "z2" }, { "r2" } } };
        this->environment.homeRegions = homes;
        for (const char* const zone : { "z1", "z2" }) {
            for (const char* const number : { "-1", "-2" }) {
                addUpstream(this->environment, std::string("i-") + zone + number, "plain", false, zone);
                addUpstream(this->environment, std::string("k-") + zone + number, "keyed", true, zone);
            }
        }
        startReadyVm(this->environment);
        REQUIRE(runUntil(this->environment, [this] { return areKeysHeld() || !this->hasHomeOfKeys(); }));
    }

    bool hasHomeOfKeys() const
    {
        const auto home = this->environment.homeRegions.find("key");
        return home == this->environment.homeRegions.end() || home->second != "unknown";
    }

    bool areKeysHeld() const
    {
        const Edge::ClusterView& view = this->environment.vms.front()->node.clusterView;
        const auto keyed = view.assignments.find({ "keyed" });
        return keyed != view.assignments.end() && !keyed->second.segments.empty()
            && std::all_of(keyed->second.segments.begin(), keyed->second.segments.end(),
                [](const Granting::Segment& segment) { return segment.isConfirmed; });
    }

    std::size_t countRuns(const std::string& zone) const
    {
        std::size_t runs = 0;
        for (const std::unique_ptr<TestUpstream>& upstream : this->environment.upstreams)
            runs += upstream->zone == zone ? upstream->standIn.ran.size() : 0;
        return runs;
    }

    TestEnvironment environment;
};

/// How many requests got each status.
std::map<unsigned, std::size_t> sendRequests(TwoRegions& regions, const std::string& kind)
{
    std::map<unsigned, std::size_t> statuses;
    for (std::size_t index = 0; index < requestCount; ++index) {
        CallerRequest request;
        request.path = "/" + kind + "/1";
        if (kind == "key")
            request.key = static_cast<unsigned>(index * 997 % 65536);
        if (kind == "unsafe") {
            request.method = http::verb::post;
            request.body = "order";
        }
        ++statuses[sendRequest(regions.environment, *regions.environment.vms.front(), request).status];
    }
    return statuses;
}

} // namespace

TEST_CASE("Requests of a route with homes are served there and nowhere else", "[homes]")
{
    struct Row {
        const char* kind;
        const char* home;
        std::size_t served;
    };
    const Row row = GENERATE(values<Row>({
        { "safe", "r1", requestCount },
        { "safe", "r2", requestCount },
        { "safe", "unknown", 0 },
        { "unsafe", "r2", requestCount },
        { "key", "r1", requestCount },
        { "key", "r2", requestCount },
        { "key", "unknown", 0 },
    }));
    INFO(row.kind << " " << row.home);
    TwoRegions regions(std::map<std::string, std::string> { { row.kind, row.home } });
    std::map<unsigned, std::size_t> statuses = sendRequests(regions, row.kind);
    CHECK(statuses[200] == row.served);
    CHECK(statuses[503] == requestCount - row.served);
    CHECK(regions.countRuns(row.home == std::string("r1") ? "z1" : "z2") == row.served);
    CHECK(regions.countRuns(row.home == std::string("r1") ? "z2" : "z1") == 0);
    const Edge::Counters& counters = regions.environment.vms.front()->node.counters;
    CHECK(counters.localResponses.count(Edge::LocalResponseReason::NoUpstreamInHomes)
        == requestCount - row.served);
}

TEST_CASE("A request without an upstream in its homes is rejected at once", "[homes]")
{
    const std::string kind = GENERATE(std::string("safe"), std::string("key"));
    INFO(kind);
    TwoRegions regions(std::map<std::string, std::string> { { kind, "unknown" } });
    CallerRequest request;
    request.path = "/" + kind + "/1";
    if (kind == "key")
        request.key = 7;
    const CallerResponse response
        = sendRequest(regions.environment, *regions.environment.vms.front(), request);
    CHECK(response.status == 503);
    CHECK(response.body == "no_upstream_in_homes\n");
    CHECK(response.elapsed < 200ms);
}

TEST_CASE("Retries stay in the homes of the route", "[homes]")
{
    // Load pattern: all upstreams of the home region reject for load.
    TwoRegions regions(std::map<std::string, std::string> { { "safe", "r2" } });
    for (const std::unique_ptr<TestUpstream>& upstream : regions.environment.upstreams) {
        if (upstream->zone != "z2" || upstream->standIn.keyed)
            continue;
        upstream->httpServer.handler
            = [](const StandInSupport::HttpRequest&, const StandInSupport::ReplyFunction& reply) {
                  StandInSupport::HttpReply rejection;
                  rejection.status = 503;
                  rejection.headers["X-Not-Executed"] = "1";
                  reply(rejection);
              };
    }
    std::map<unsigned, std::size_t> statuses = sendRequests(regions, "safe");
    CHECK(statuses[503] == requestCount);
    CHECK(regions.countRuns("z1") == 0);
}

TEST_CASE("The body of a request with homes is handed to no VM whose region is not known", "[homes]")
{
    TwoRegions regions(std::map<std::string, std::string> { { "unsafe", "r1" } });
    TestEnvironment& environment = regions.environment;
    Edge::Service& vm = startVm(environment);
    REQUIRE(runUntil(environment,
        [&] { return vm.node.clusterView.directoryLoaded && vm.node.relay.members.size() == 2; }));
    // No upstream listens there.
    vm.node.settings.upstreamPortOffset = 1;
    vm.node.calls.idleConnections.clear();
    REQUIRE(runUntil(environment, [&] {
        sendRequest(environment, vm, {});
        return Edge::isReachLost(vm.node);
    }));
    for (auto it = vm.node.forwarding.peers.begin(); it != vm.node.forwarding.peers.end(); ++it)
        it->second.zone = {};
    CallerRequest order;
    order.path = "/unsafe/1";
    order.method = http::verb::post;
    order.body = "order";
    CHECK(sendRequest(environment, vm, order).status == 503);
    // Other requests show where the other VM is.
    CHECK(sendRequest(environment, vm, {}).status == 200);
    CHECK(sendRequest(environment, vm, order).status == 200);
}

TEST_CASE("Keys move when a configuration sets homes", "[homes]")
{
    TwoRegions regions;
    CHECK(sendRequests(regions, "key")[200] == requestCount);
    CHECK(regions.countRuns("z2") > 0);
    regions.environment.homeRegions = { { "key", "r1" } };
    publishConfiguration(regions.environment, 2);
    Edge::Service& vm = *regions.environment.vms.front();
    REQUIRE(runUntil(regions.environment, [&] {
        const std::vector<Granting::Segment>& segments
            = vm.node.clusterView.assignments[{ "keyed" }].segments;
        return vm.node.clusterView.routeTable->configuration.version == 2
            && std::all_of(segments.begin(), segments.end(), [](const Granting::Segment& segment) {
                   return segment.isConfirmed && segment.holder.value.rfind("k-z1", 0) == 0;
               });
    }));
    const std::size_t runsBefore = regions.countRuns("z2");
    CHECK(sendRequests(regions, "key")[200] == requestCount);
    CHECK(regions.countRuns("z2") == runsBefore);
}
