#include "rawcaller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

TEST_CASE("A stop completes requests in flight and accepts callers until the load balancer removes the VM",
    "[stop]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    upstream.standIn.work = 1000ms;
    std::optional<unsigned> status;
    Platform::HttpRequest request(http::verb::get, "/safe/1", 11);
    request.set(http::field::host, "a.example");
    Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, request, 5s,
        [&status](const Edge::CallResponse& callResponse) { status = callResponse.status; });
    REQUIRE(runUntil(environment, [&upstream] { return !upstream.standIn.ran.empty(); }));
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::raise(SIGTERM);
    REQUIRE(runUntil(
        environment, [&status] { return status.has_value(); }, 3000ms));
    CHECK(status == 200U);
    upstream.standIn.work = 5ms;
    CHECK(sendRequest(environment, vm, {}).status == 200);
    environment.context.restart();
    environment.context.run();
    const std::chrono::steady_clock::duration elapsed = std::chrono::steady_clock::now() - start;
    CHECK(elapsed < 6s);
    CHECK(elapsed > 2500ms);
}

TEST_CASE("SIGHUP reloads the settings and interrupts no request", "[stop]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    unsigned reloads = 0;
    vm.loadSettings = [&] {
        ++reloads;
        return std::optional<Routing::VmSettings>();
    };
    std::raise(SIGHUP);
    CHECK(runUntil(
        environment, [&reloads] { return reloads > 0; }, 1000ms));
    CHECK(sendRequest(environment, vm, {}).status == 200);
}

TEST_CASE("Requests that have reached the VM when a stop closes connections are answered", "[stop]")
{
    const bool onOpenConnection = GENERATE(false, true);
    INFO((onOpenConnection ? "on an open connection" : "on new connections"));
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    constexpr std::size_t callerCount = 6;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t index = 0; index < callerCount; ++index) {
        callers.push_back(std::make_unique<RawCaller>(environment.context));
        if (onOpenConnection)
            connectAndSend(*callers.back(), vm, requestBytes("/safe/0"));
    }
    REQUIRE(runUntil(environment, [&] {
        return !onOpenConnection || std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
            return responsesOf(*caller).size() == 1;
        });
    }));
    std::raise(SIGTERM);
    runFor(environment, 2500ms);
    // The VM has no processor time while callers send and the load balancer's delay ends.
    for (const std::unique_ptr<RawCaller>& caller : callers) {
        if (onOpenConnection)
            sendBytes(*caller, requestBytes("/safe/1"));
        else
            connectAndSend(*caller, vm, requestBytes("/safe/1"));
    }
    std::this_thread::sleep_for(200ms);
    environment.context.restart();
    environment.context.run();
    for (const std::unique_ptr<RawCaller>& caller : callers) {
        const std::vector<RawResponse> responses = responsesOf(*caller);
        REQUIRE(responses.size() == (onOpenConnection ? 2 : 1));
        CHECK(responses.back().status == 200);
        CHECK_FALSE(responses.back().keepAlive);
    }
}

TEST_CASE("Requests that are still in flight when the grace period ends get an answer", "[stop]")
{
    struct Row {
        const char* name;
        const char* path;
        unsigned status;
    };
    const Row row = GENERATE(values<Row>({
        { "at an upstream", "/safe/1", 502 },
        { "at an upstream, unsafe", "/unsafe/1", 502 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    vm.node.settings.operatingLimits.terminationGracePeriod = 900ms;
    upstream.standIn.faults->silent = 1;
    RawCaller caller(environment.context);
    connectAndSend(caller, vm, requestBytes(row.path));
    REQUIRE(runUntil(environment, [&upstream] { return !upstream.standIn.ran.empty(); }));
    std::raise(SIGTERM);
    environment.context.restart();
    environment.context.run();
    environment.context.restart();
    environment.context.run_for(100ms);
    const std::vector<RawResponse> responses = responsesOf(caller);
    REQUIRE(responses.size() == 1);
    CHECK(responses.front().status == row.status);
}
