#include "testenvironment.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

TEST_CASE("A stop by plan answers what is under way and takes callers until the balancer knows", "[stop]")
{
    TestEnvironment world;
    TestUpstream& server = addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startReadyVm(world);
    server.standIn.work = 1000ms;
    std::optional<unsigned> status;
    Platform::HttpRequest request(http::verb::get, "/safe/1", 11);
    request.set(http::field::host, "a.example");
    Edge::startCall(world.callPool, vm.node.settings.callerEndpoint, request, 5s,
        [&status](const Edge::CallResponse& reply) { status = reply.status; });
    REQUIRE(runUntil(world, [&server] { return !server.standIn.ran.empty(); }));
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::raise(SIGTERM);
    REQUIRE(runUntil(
        world, [&status] { return status.has_value(); }, 3000ms));
    CHECK(status == 200U);
    server.standIn.work = 5ms;
    CHECK(sendRequest(world, vm, {}).status == 200);
    world.context.restart();
    world.context.run();
    const std::chrono::steady_clock::duration took = std::chrono::steady_clock::now() - start;
    CHECK(took < 6s);
    CHECK(took > 2500ms);
}

TEST_CASE("A hangup reads the settings again and cuts nothing", "[stop]")
{
    TestEnvironment world;
    addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startReadyVm(world);
    unsigned reloads = 0;
    vm.loadSettings = [&] {
        ++reloads;
        return std::optional<Routing::VmSettings>();
    };
    std::raise(SIGHUP);
    CHECK(runUntil(
        world, [&reloads] { return reloads > 0; }, 1000ms));
    CHECK(sendRequest(world, vm, {}).status == 200);
}
