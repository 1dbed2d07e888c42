#include "rawcaller.h"
#include "headfirstupstream.h"
#include "testenvironment.h"

#include <edge/clock.h>
#include <edge/upstreamreach.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/// An offset at which no upstream listens: new connections are refused.
constexpr std::uint16_t unusedPortOffset = 1;

/// Partitions \a vm from all upstreams.
void cut(Edge::Service& vm)
{
    vm.node.settings.upstreamPortOffset = unusedPortOffset;
    vm.node.calls.idleConnections.clear();
}

void heal(Edge::Service& vm) { vm.node.settings.upstreamPortOffset = 0; }

/// Sends requests to \a vm until it knows that it is cut.
bool waitUntilReachIsLost(TestEnvironment& environment, Edge::Service& vm)
{
    return runUntil(
        environment,
        [&] {
            sendRequest(environment, vm, {});
            return Edge::isReachLost(vm.node);
        },
        3000ms);
}

/// Three VMs that know of each other, three upstreams and two with keys.
struct Fleet {
    Fleet()
    {
        for (const char* id : { "i-1", "i-2", "i-3" })
            addUpstream(this->environment, id, "plain");
        for (const char* id : { "k-1", "k-2" })
            addUpstream(this->environment, id, "keyed", true);
        startReadyVm(this->environment);
        startVm(this->environment);
        startVm(this->environment);
        REQUIRE(runUntil(this->environment, [this] {
            return std::all_of(this->environment.vms.begin(), this->environment.vms.end(),
                [](const std::unique_ptr<Edge::Service>& vm) {
                    const auto keyed = vm->node.clusterView.assignments.find({ "keyed" });
                    return vm->node.relay.members.size() == 3 && vm->node.clusterView.directoryLoaded
                        && keyed != vm->node.clusterView.assignments.end()
                        && std::all_of(keyed->second.segments.begin(), keyed->second.segments.end(),
                            [](const Granting::Segment& segment) { return segment.isConfirmed; });
                });
        }));
    }

    Edge::Service& vm(std::size_t index) { return *this->environment.vms[index]; }

    TestEnvironment environment;
};

std::size_t countRuns(const TestEnvironment& environment)
{
    std::size_t runs = 0;
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        runs += upstream->standIn.ran.size();
    return runs;
}

CallerRequest makeRequest(const std::string& kind)
{
    CallerRequest request;
    request.path = "/" + kind + "/1";
    if (kind == "key")
        request.key = 100;
    if (kind == "unsafe") {
        request.method = http::verb::post;
        request.body = "order";
    }
    return request;
}

} // namespace

TEST_CASE("Requests of a VM that reaches no upstream are served by way of another VM", "[peerforwarding]")
{
    const std::string kind = GENERATE(std::string("safe"), std::string("unsafe"), std::string("key"));
    INFO(kind);
    Fleet fleet;
    cut(fleet.vm(1));
    REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(1)));
    const std::size_t runsBefore = countRuns(fleet.environment);
    constexpr unsigned requests = 30;
    for (unsigned request = 0; request < requests; ++request) {
        const CallerResponse response = sendRequest(fleet.environment, fleet.vm(1), makeRequest(kind));
        CHECK(response.status == 200);
        CHECK(response.serverStamp.rfind("stamp-", 0) == 0);
    }
    CHECK(countRuns(fleet.environment) - runsBefore == requests);
    heal(fleet.vm(1));
    CHECK(runUntil(
        fleet.environment, [&] { return !Edge::isReachLost(fleet.vm(1).node); }, 1000ms));
    const std::uint64_t forwardedBefore
        = fleet.vm(1).node.counters.forwardings.count(Edge::ForwardingOutcome::Delivered);
    CHECK(sendRequest(fleet.environment, fleet.vm(1), makeRequest(kind)).status == 200);
    CHECK(fleet.vm(1).node.counters.forwardings.count(Edge::ForwardingOutcome::Delivered) == forwardedBefore);
}

TEST_CASE(
    "Requests whose callers wait for an interim response are served by way of another VM", "[peerforwarding]")
{
    // Guards against an interim response of the other VM that is taken for the final one: the final one would
    // be taken for that to the next request on the connection.
    const std::string kind = GENERATE(std::string("safe"), std::string("unsafe"));
    const std::chrono::milliseconds work = GENERATE(0ms, 150ms);
    INFO(kind << " " << work.count() << " ms");
    Fleet fleet;
    cut(fleet.vm(1));
    REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(1)));
    for (const std::unique_ptr<TestUpstream>& upstream : fleet.environment.upstreams)
        upstream->standIn.work = work;
    const std::size_t runsBefore = countRuns(fleet.environment);
    constexpr unsigned requests = 6;
    for (unsigned request = 0; request < requests; ++request) {
        const std::string path = "/" + kind + "/" + std::to_string(request);
        RawCaller caller(fleet.environment.context);
        connectAndSend(caller, fleet.vm(1), requestBytes(path, "Expect: 100-continue\r\n", "order"));
        runUntil(
            fleet.environment, [&] { return !responsesOf(caller).empty() || caller.closed; }, 3000ms);
        const std::vector<RawResponse> responses = responsesOf(caller);
        REQUIRE(responses.size() == 1);
        CHECK(responses.front().status == 200);
        CHECK(responses.front().body.find(path) != std::string::npos);
    }
    CHECK(countRuns(fleet.environment) - runsBefore == requests);
}

TEST_CASE("A VM that reaches no upstream either declines, and the next one is asked", "[peerforwarding]")
{
    Fleet fleet;
    cut(fleet.vm(0));
    cut(fleet.vm(1));
    REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(0)));
    REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(1)));
    for (unsigned request = 0; request < 20; ++request) {
        CHECK(sendRequest(fleet.environment, fleet.vm(0), makeRequest("unsafe")).status == 200);
        CHECK(sendRequest(fleet.environment, fleet.vm(1), makeRequest("safe")).status == 200);
    }
}

TEST_CASE("When no VM reaches an upstream a request is rejected at once, and none is handed on in a circle",
    "[peerforwarding]")
{
    Fleet fleet;
    for (std::size_t vm = 0; vm < 3; ++vm) {
        cut(fleet.vm(vm));
        REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(vm)));
    }
    const std::size_t runsBefore = countRuns(fleet.environment);
    for (unsigned request = 0; request < 10; ++request) {
        const CallerResponse response
            = sendRequest(fleet.environment, fleet.vm(request % 3), makeRequest("unsafe"));
        CHECK(response.status == 503);
        CHECK(response.body == "upstreams_unreachable\n");
        CHECK_FALSE(response.retryAfter.empty());
        CHECK(response.elapsed < 200ms);
    }
    CHECK(countRuns(fleet.environment) == runsBefore);
    std::uint64_t received = 0;
    for (std::size_t vm = 0; vm < 3; ++vm)
        received += fleet.vm(vm).node.counters.forwardedRequests;
    CHECK(received == 0);
}

TEST_CASE(
    "A VM that terminates while it serves a forwarded request leaves its outcome unknown", "[peerforwarding]")
{
    struct Row {
        const char* kind;
        unsigned status;
        std::size_t maxRuns;
    };
    const Row row = GENERATE(values<Row>({
        { "unsafe", 502, 1 },
        { "safe", 200, 2 },
    }));
    INFO(row.kind);
    Fleet fleet;
    cut(fleet.vm(1));
    REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(1)));
    for (const std::unique_ptr<TestUpstream>& upstream : fleet.environment.upstreams)
        upstream->standIn.work = 300ms;
    const std::size_t runsBefore = countRuns(fleet.environment);
    // Whichever VM gets the request closes all connections of other VMs 100 ms later, once.
    boost::asio::steady_timer timer(fleet.environment.context, 100ms);
    timer.async_wait([&fleet](const boost::system::error_code&) {
        for (std::size_t vm : { std::size_t(0), std::size_t(2) }) {
            for (auto& [id, caller] : fleet.vm(vm).node.traffic.callerConnections) {
                boost::system::error_code ignored;
                if (caller->isPeer)
                    caller->socket.shutdown(Edge::Tcp::socket::shutdown_both, ignored);
            }
        }
    });
    const CallerResponse response = sendRequest(fleet.environment, fleet.vm(1), makeRequest(row.kind));
    CHECK(response.status == row.status);
    CHECK(countRuns(fleet.environment) - runsBefore <= row.maxRuns);
}

TEST_CASE("A forwarded request goes on while no other VM may be given it", "[peerforwarding]")
{
    // Guards against a request that is given up, at which an upstream works, because a second VM could have
    // been asked if the retry budget permitted it.
    const bool hasBudget = GENERATE(false, true);
    INFO((hasBudget ? "with a retry budget" : "without a retry budget"));
    Fleet fleet;
    cut(fleet.vm(1));
    REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(1)));
    // A VM that has just started has no share of the slack.
    for (const std::unique_ptr<Edge::Service>& vm : fleet.environment.vms) {
        vm->node.traffic.retryBudgets.clear();
        if (!hasBudget)
            vm->node.startedAt = Edge::now();
    }
    for (const std::unique_ptr<TestUpstream>& upstream : fleet.environment.upstreams)
        upstream->standIn.work = 1000ms;
    const std::size_t runsBefore = countRuns(fleet.environment);
    const CallerResponse response = sendRequest(fleet.environment, fleet.vm(1), makeRequest("safe"));
    CHECK((hasBudget || response.status == 200));
    CHECK((hasBudget || response.elapsed >= 900ms));
    CHECK((hasBudget ? countRuns(fleet.environment) - runsBefore > 1
                     : countRuns(fleet.environment) - runsBefore == 1));
}

TEST_CASE(
    "Without a cut no request is forwarded and no VM connects to another one for it", "[peerforwarding]")
{
    Fleet fleet;
    for (unsigned request = 0; request < 20; ++request)
        CHECK(sendRequest(fleet.environment, fleet.vm(request % 3), makeRequest("safe")).status == 200);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        CHECK(fleet.vm(vm).node.forwarding.peers.empty());
        CHECK(fleet.vm(vm).node.counters.forwardedRequests == 0);
    }
}

TEST_CASE("A VM that passes on from another VM that an upstream leaves knows it at once", "[peerforwarding]")
{
    Fleet fleet;
    cut(fleet.vm(1));
    REQUIRE(waitUntilReachIsLost(fleet.environment, fleet.vm(1)));
    for (const std::unique_ptr<TestUpstream>& upstream : fleet.environment.upstreams)
        upstream->standIn.leaving = true;
    const CallerResponse response = sendRequest(fleet.environment, fleet.vm(1), makeRequest("safe"));
    REQUIRE(response.status == 200);
    const std::string upstream = response.serverStamp.substr(std::string("stamp-").size());
    CHECK(fleet.vm(1).node.leaving.upstreams.byId.contains({ upstream }));
}

TEST_CASE("A call with HEAD does not wait for a body", "[peerforwarding]")
{
    TestEnvironment environment;
    HeadFirstUpstream peer(environment);
    peer.script = [](const HeadFirstSessionPtr& session) {
        writeAll(session, responseHead(session, "Content-Length: 9\r\n"));
    };
    startHeadFirstUpstream(peer, "i-1");
    Platform::HttpRequest request(boost::beast::http::verb::head, "/plain/1", 11);
    std::optional<Edge::CallResponse> response;
    Edge::startCall(environment.callPool, endpointOf(peer), std::move(request), 1s,
        [&response](Edge::CallResponse received) { response = std::move(received); });
    REQUIRE(runUntil(environment, [&response] { return response.has_value(); }));
    CHECK(response->outcome == Edge::CallOutcome::Responded);
    CHECK(response->status == 200);
    CHECK(response->body.empty());
}
