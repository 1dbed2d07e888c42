#include "headfirstupstream.h"
#include "rawcaller.h"

#include <edge/callpool.h>

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/// More than sockets hold for a peer that does not read.
constexpr std::size_t bodyBytes = 900000;
/// Longer than data to a peer that is gone remains unacknowledged.
constexpr std::chrono::milliseconds pauseOfReader = 3500ms;

/// Makes \a upstream respond with a body of this size.
void respondWith(HeadFirstUpstream& upstream, std::size_t size)
{
    upstream.script = [size](const HeadFirstSessionPtr& session) {
        writeAll(session,
            responseHead(session, "Content-Length: " + std::to_string(size) + "\r\n")
                + std::string(size, 'x'));
    };
}

/// Makes \a upstream read the body of a request only after a pause, and respond then.
void readSlowly(HeadFirstUpstream& upstream)
{
    upstream.script = [&upstream](const HeadFirstSessionPtr& session) {
        readRestLater(upstream.environment, session, pauseOfReader,
            [session] { writeAll(session, responseHead(session, "Content-Length: 4\r\n") + "done"); });
    };
}

std::string downloadBytes() { return requestBytes("/safe/1", "X-Deadline-Ms: 10000\r\n"); }

} // namespace

TEST_CASE("A caller that reads a response after a pause gets the whole response", "[slowreaders]")
{
    // Guards against connections that are reset while a caller's receive window is closed.
    TestEnvironment environment;
    environment.routeTimeout = 8000ms;
    HeadFirstUpstream upstream(environment);
    respondWith(upstream, bodyBytes);
    startHeadFirstUpstream(upstream, "i-1");
    Edge::Service& vm = startReadyVm(environment);
    RawCaller caller(environment.context);
    connectWithoutReading(caller, vm.node.settings.callerEndpoint, downloadBytes());
    runFor(environment, pauseOfReader);
    startReading(caller);
    CHECK(runUntil(
        environment, [&caller] { return caller.closed || caller.received.size() > bodyBytes; }, 3000ms));
    CHECK_FALSE(caller.closed);
    const std::vector<RawResponse> responses = responsesOf(caller);
    REQUIRE(responses.size() == 1);
    CHECK(responses.front().status == 200);
    CHECK(responses.front().body.size() == bodyBytes);
}

TEST_CASE("An upstream that reads a body after a pause runs the request", "[slowreaders]")
{
    // Guards against connections that are reset while an upstream's receive window is closed.
    TestEnvironment environment;
    environment.routeTimeout = 8000ms;
    HeadFirstUpstream upstream(environment);
    readSlowly(upstream);
    startHeadFirstUpstream(upstream, "i-1");
    Edge::Service& vm = startReadyVm(environment);
    CallerRequest request;
    request.path = "/unsafe/1";
    request.method = http::verb::post;
    request.deadlineMs = 8000;
    request.body = std::string(bodyBytes, 'x');
    const CallerResponse response = sendRequest(environment, vm, request);
    CHECK(response.status == 200);
    CHECK(response.body == "done");
    CHECK(upstream.requests == 1);
}

TEST_CASE("A call whose request is read after a pause gets its response", "[slowreaders]")
{
    TestEnvironment environment;
    HeadFirstUpstream peer(environment);
    readSlowly(peer);
    startHeadFirstUpstream(peer, "i-1");
    Platform::HttpRequest request(http::verb::post, "/plain/1", 11);
    request.set("X-Request-Id", "call-1");
    request.body() = std::string(bodyBytes, 'x');
    request.prepare_payload();
    std::optional<Edge::CallResponse> response;
    Edge::startCall(
        environment.callPool, endpointOf(peer), std::move(request), 8s,
        [&response](Edge::CallResponse received) { response = std::move(received); }, 1 << 20,
        Edge::CallRepetition::Never);
    REQUIRE(runUntil(environment, [&response] { return response.has_value(); }));
    CHECK(response->outcome == Edge::CallOutcome::Responded);
    CHECK(response->body == "done");
}

TEST_CASE("Callers that don't read lose their connections when memory is short, and others are served",
    "[slowreaders]")
{
    // A quarter of the memory may hold responses: three of these, of which sockets hold a part.
    constexpr unsigned memoryMegabytes = 80;
    constexpr std::size_t largeBodyBytes = 6000000;
    constexpr std::size_t stalledCount = 3;
    TestEnvironment environment;
    environment.routeTimeout = 8000ms;
    HeadFirstUpstream upstream(environment);
    respondWith(upstream, largeBodyBytes);
    startHeadFirstUpstream(upstream, "i-1");
    Edge::Service& vm = startReadyVm(environment);
    vm.node.settings.memoryMegabytes = memoryMegabytes;
    std::vector<std::unique_ptr<RawCaller>> stalled;
    for (std::size_t number = 0; number < stalledCount; ++number) {
        stalled.push_back(std::make_unique<RawCaller>(environment.context));
        connectWithoutReading(*stalled.back(), vm.node.settings.callerEndpoint, downloadBytes());
    }
    runFor(environment, pauseOfReader);
    REQUIRE(vm.node.traffic.callerConnections.size() == stalledCount);
    const CallerResponse response = sendRequest(environment, vm, {});
    CHECK(response.status == 200);
    CHECK(response.body.size() == largeBodyBytes);
    CHECK(vm.node.traffic.responseBytes <= (std::uint64_t(memoryMegabytes) << 20) / 4);
    CHECK(vm.node.traffic.callerConnections.size() <= stalledCount);
}
