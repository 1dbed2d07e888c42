#include "testenvironment.h"

#include <catch2/catch.hpp>

#include <csignal>

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
