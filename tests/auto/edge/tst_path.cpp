#include "testenvironment.h"

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

CallerRequest questionFor(
    const std::string& path, const std::string& body = "", const std::string& host = "a.example")
{
    CallerRequest question;
    question.path = path;
    question.method = body.empty() ? http::verb::get : http::verb::post;
    question.host = host;
    question.body = body;
    return question;
}

} // namespace

TEST_CASE("A VM without a configuration refuses, and then serves", "[path]")
{
    TestEnvironment world;
    addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startVm(world);
    runFor(world, 100ms);
    const CallerResponse before = sendRequest(world, vm, {});
    CHECK(before.status == 503);
    CHECK_FALSE(before.retryAfter.empty());
    publishConfiguration(world, 1);
    REQUIRE(runUntil(world, [&vm] { return vm.node.clusterView.routeTable != nullptr; }));
    const CallerResponse after = sendRequest(world, vm, {});
    CHECK(after.status == 200);
    CHECK(after.serverStamp == "stamp-i-1");
    CHECK(after.body == "i-1 /safe/1");
}

TEST_CASE("Requests find their route or are told that there is none", "[path]")
{
    struct Row {
        const char* name;
        CallerRequest question;
        unsigned status;
    };
    TestEnvironment world;
    addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startReadyVm(world);
    const std::vector<Row> rows {
        { "safe", questionFor("/safe/1"), 200 },
        { "unsafe with a body", questionFor("/unsafe/1", "order"), 200 },
        { "no route", questionFor("/none/1"), 404 },
        { "unknown host", questionFor("/safe/1", "", "b.example"), 404 },
        { "too large a body", questionFor("/unsafe/1", std::string(1000001, 'x')), 413 },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        CHECK(sendRequest(world, vm, row.question).status == row.status);
    }
    const std::vector<StandInSupport::HttpRequest>& ran = world.upstreams[0]->standIn.ran;
    REQUIRE(ran.size() == 2);
    CHECK(ran[1].body == "order");
    CHECK(ran[1].method == "POST");
}

TEST_CASE("A server is told whom the request is for and what is left of its time", "[path]")
{
    TestEnvironment world;
    addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startReadyVm(world);
    CallerRequest question;
    question.deadlineMs = 700;
    REQUIRE(sendRequest(world, vm, question).status == 200);
    question.deadlineMs = 5000;
    REQUIRE(sendRequest(world, vm, question).status == 200);
    const std::vector<StandInSupport::HttpRequest>& ran = world.upstreams[0]->standIn.ran;
    CHECK(ran[0].headers.at("x-expect-instance") == "i-1");
    CHECK(std::stoul(ran[0].headers.at("x-deadline-ms")) <= 700);
    // The route's timeout is shorter than this caller's deadline.
    CHECK(std::stoul(ran[1].headers.at("x-deadline-ms")) <= 1500);
}

TEST_CASE("A caller that leaves ends the work for it", "[path]")
{
    TestEnvironment world;
    TestUpstream& server = addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startReadyVm(world);
    server.standIn.faults->silent = 1;
    Platform::HttpRequest request(http::verb::get, "/safe/1", 11);
    request.set(http::field::host, "a.example");
    const std::uint64_t call = Edge::startCall(
        world.callPool, vm.node.settings.callerEndpoint, request, 5s, [](const Edge::CallResponse&) {});
    REQUIRE(runUntil(world, [&server] { return server.standIn.ran.size() == 1; }));
    REQUIRE(vm.node.traffic.exchanges.size() == 1);
    Edge::cancelCall(world.callPool, call);
    CHECK(runUntil(
        world, [&vm] { return vm.node.traffic.exchanges.empty(); }, 500ms));
    CHECK(vm.node.traffic.upstreamConnections.empty());
}

TEST_CASE("Readiness and metrics are served", "[path]")
{
    TestEnvironment world;
    addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startReadyVm(world);
    sendRequest(world, vm, {});
    const auto get = [&](const Routing::Endpoint& endpoint, const char* target) {
        std::optional<Edge::CallResponse> got;
        Platform::HttpRequest request(http::verb::get, target, 11);
        request.set(http::field::host, "x");
        Edge::startCall(world.callPool, endpoint, request, 2s,
            [&got](Edge::CallResponse reply) { got = std::move(reply); });
        runUntil(world, [&got] { return got.has_value(); });
        return *got;
    };
    CHECK(get(vm.node.settings.readinessEndpoint, "/ready").status == 200);
    const Edge::CallResponse metrics = get({ vm.node.settings.address, 9464 }, "/metrics");
    CHECK(metrics.status == 200);
    CHECK(metrics.body.find("crocus_configuration_version 1") != std::string::npos);
    CHECK(metrics.body.find("crocus_attempts_total{end=\"answered\"} 1") != std::string::npos);
}
