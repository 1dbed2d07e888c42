#include "rawcaller.h"
#include "testenvironment.h"

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

CallerRequest makeCallerRequest(
    const std::string& path, const std::string& body = "", const std::string& host = "a.example")
{
    CallerRequest callerRequest;
    callerRequest.path = path;
    callerRequest.method = body.empty() ? http::verb::get : http::verb::post;
    callerRequest.host = host;
    callerRequest.body = body;
    return callerRequest;
}

} // namespace

TEST_CASE("A VM rejects requests until it has a configuration", "[path]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startVm(environment);
    runFor(environment, 100ms);
    const CallerResponse before = sendRequest(environment, vm, {});
    CHECK(before.status == 503);
    CHECK_FALSE(before.retryAfter.empty());
    publishConfiguration(environment, 1);
    REQUIRE(runUntil(environment, [&vm] { return vm.node.clusterView.routeTable != nullptr; }));
    const CallerResponse after = sendRequest(environment, vm, {});
    CHECK(after.status == 200);
    CHECK(after.serverStamp == "stamp-i-1");
    CHECK(after.body == "i-1 /safe/1");
}

TEST_CASE("Requests are routed, or rejected if they match no route or are too large", "[path]")
{
    struct Row {
        const char* name;
        CallerRequest callerRequest;
        unsigned status;
    };
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    const std::vector<Row> rows {
        { "safe", makeCallerRequest("/safe/1"), 200 },
        { "unsafe with a body", makeCallerRequest("/unsafe/1", "order"), 200 },
        { "no route", makeCallerRequest("/none/1"), 404 },
        { "unknown host", makeCallerRequest("/safe/1", "", "b.example"), 404 },
        { "too large a body", makeCallerRequest("/unsafe/1", std::string(1000001, 'x')), 413 },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        CHECK(sendRequest(environment, vm, row.callerRequest).status == row.status);
    }
    const std::vector<StandInSupport::HttpRequest>& ran = environment.upstreams[0]->standIn.ran;
    REQUIRE(ran.size() == 2);
    CHECK(ran[1].body == "order");
    CHECK(ran[1].method == "POST");
}

TEST_CASE("A forwarded request names the intended upstream and the remaining time", "[path]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    CallerRequest callerRequest;
    callerRequest.deadlineMs = 700;
    REQUIRE(sendRequest(environment, vm, callerRequest).status == 200);
    callerRequest.deadlineMs = 5000;
    REQUIRE(sendRequest(environment, vm, callerRequest).status == 200);
    const std::vector<StandInSupport::HttpRequest>& ran = environment.upstreams[0]->standIn.ran;
    CHECK(ran[0].headers.at("x-expect-instance") == "i-1");
    CHECK(std::stoul(ran[0].headers.at("x-deadline-ms")) <= 700);
    // The route's timeout is shorter than this caller's deadline.
    CHECK(std::stoul(ran[1].headers.at("x-deadline-ms")) <= 1500);
}

TEST_CASE("A request is cancelled when its caller disconnects", "[path]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    upstream.standIn.faults->silent = 1;
    Platform::HttpRequest request(http::verb::get, "/safe/1", 11);
    request.set(http::field::host, "a.example");
    const std::uint64_t call = Edge::startCall(
        environment.callPool, vm.node.settings.callerEndpoint, request, 5s, [](const Edge::CallResponse&) {});
    REQUIRE(runUntil(environment, [&upstream] { return upstream.standIn.ran.size() == 1; }));
    REQUIRE(vm.node.traffic.exchanges.size() == 1);
    Edge::cancelCall(environment.callPool, call);
    CHECK(runUntil(
        environment, [&vm] { return vm.node.traffic.exchanges.empty(); }, 500ms));
    CHECK(vm.node.traffic.upstreamConnections.empty());
}

TEST_CASE("Readiness and metrics are served", "[path]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    sendRequest(environment, vm, {});
    const auto get = [&](const Routing::Endpoint& endpoint, const char* target) {
        std::optional<Edge::CallResponse> response;
        Platform::HttpRequest request(http::verb::get, target, 11);
        request.set(http::field::host, "x");
        Edge::startCall(environment.callPool, endpoint, request, 2s,
            [&response](Edge::CallResponse callResponse) { response = std::move(callResponse); });
        runUntil(environment, [&response] { return response.has_value(); });
        return *response;
    };
    CHECK(get(vm.node.settings.readinessEndpoint, "/ready").status == 200);
    const Edge::CallResponse metrics = get({ vm.node.settings.address, 9464 }, "/metrics");
    CHECK(metrics.status == 200);
    CHECK(metrics.body.find("crocus_configuration_version 1") != std::string::npos);
    CHECK(metrics.body.find("crocus_attempts_total{end=\"answered\"} 1") != std::string::npos);
}

TEST_CASE("A response of the VM itself to HEAD ends with its header", "[path]")
{
    // Guards against bodies that stand where the response to the next request is due.
    struct Row {
        const char* name;
        const char* path;
        const char* status;
    };
    const Row row = GENERATE(values<Row>({
        { "no route", "/gone/1", "404" },
        { "no holder", "/key/1", "503" },
        { "failed upstream", "/unsafe/1", "502" },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    upstream.standIn.faults->loseAnswer = 1;
    RawCaller caller(environment.context);
    std::string head = requestBytes(row.path, "X-Shard-Key: 1\r\n");
    head.replace(0, 3, "HEAD");
    connectAndSend(caller, vm, head);
    REQUIRE(
        runUntil(environment, [&caller] { return caller.received.find("\r\n\r\n") != std::string::npos; }));
    upstream.standIn.faults->loseAnswer = 0;
    sendBytes(caller, requestBytes("/safe/1"));
    REQUIRE(runUntil(
        environment, [&caller] { return caller.received.find("i-1 /safe/1") != std::string::npos; }));
    CHECK(caller.received.rfind(std::string("HTTP/1.1 ") + row.status, 0) == 0);
    CHECK(caller.received.find("Content-Length: 0") == std::string::npos);
    const std::size_t end = caller.received.find("\r\n\r\n") + 4;
    CHECK(caller.received.compare(end, 12, "HTTP/1.1 200") == 0);
}
