#include "testenvironment.h"

#include <edge/coldupstreams.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

using Instant = std::chrono::steady_clock::time_point;

constexpr std::size_t vmCount = 6;
/// The platform's bound for a rate of 2 a second with the limits below.
constexpr double coldExcessFactor = 1.5;
constexpr double coldExcessRequests = 2;
constexpr std::size_t maxArrivals = 5;
constexpr std::chrono::milliseconds window = 1s;
/// Between two requests of the callers, which ask the VMs in turn.
constexpr std::chrono::milliseconds requestGap = 50ms;

std::string makeRule(const std::string& prefix, const std::string& service)
{
    return R"({"name":"r-)" + prefix
        + R"(","kind":"safe","target_latency":"800ms","priority":1,"match":{"path_prefix":"/)" + prefix
        + R"(/"},"action":{"service":")" + service + R"(","timeout":"1500ms","max_attempts":3}})";
}

/// Publishes a configuration whose cold upstreams take two requests a second.
void publishColdRates(TestEnvironment& environment)
{
    const std::string cold = R"("health_path":"/health","max_conns":9,"cold":"20s","cold_per_s":2)";
    StandInStore::putRecord(environment.store, "keyed.op", "config",
        R"({"version":"r50","limits":{"header_bytes":16384,"body_bytes":1000000,"header":"3000ms",)"
        R"("idle_timeout":"15000ms"},"listeners":[{"host":"a.example","rules":[)"
            + makeRule("safe", "plain") + "," + makeRule("key", "keyed")
            + R"(]}],"clusters":[{"name":"plain",)" + cold + R"(},{"name":"keyed",)" + cold
            + R"(,"sharded":true,"warm":"2s"}]})");
}

void publishColdTime(TestEnvironment& environment, TestUpstream& upstream, const std::string& coldTime)
{
    boost::system::error_code ignored;
    StandInStore::putRecord(environment.store, "keyed.servers", upstream.standIn.id,
        R"({"address":")" + upstream.httpServer.acceptor.local_endpoint(ignored).address().to_string() + ":"
            + std::to_string(StandInSupport::portOf(upstream.httpServer)) + R"(","info":{"service":")"
            + upstream.service + R"(","version":"v1","zone":"z1","slots":2},"status":{"state":"ready",)"
            + R"("seq_no":)" + std::to_string(++upstream.sequenceNumber) + R"(,"cold_left":")" + coldTime
            + R"("},"born":)" + std::to_string(upstream.startTimeMs) + "}");
}

struct Callers {
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t refusedWithoutDelay = 0;
};

void send(TestEnvironment& environment, Callers& callers, bool keyed)
{
    const Edge::Service& vm = *environment.vms[callers.sent % vmCount];
    Platform::HttpRequest request(http::verb::get, keyed ? "/key/1" : "/safe/1", 11);
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", (keyed ? "k" : "r") + std::to_string(++callers.sent));
    request.set("X-Deadline-Ms", "1000");
    if (keyed)
        request.set("X-Shard-Key", "7");
    request.prepare_payload();
    Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, std::move(request), 3s,
        [&callers](const Edge::CallResponse& response) {
            ++callers.ended;
            callers.served += response.status == 200 ? 1 : 0;
            if (response.body != "limit_reached\n")
                return;
            ++callers.refused;
            callers.refusedWithoutDelay += response.fields.count(http::field::retry_after) == 0 ? 1 : 0;
        });
}

/// Sends requests for \a time and waits for their responses.
Callers sendFor(TestEnvironment& environment, std::chrono::milliseconds time, bool keyed)
{
    Callers callers;
    for (std::chrono::milliseconds at = 0ms; at < time; at += requestGap) {
        send(environment, callers, keyed);
        runFor(environment, requestGap);
    }
    runUntil(environment, [&callers] { return callers.ended == callers.sent; });
    return callers;
}

/// Keeps the times of requests that reach \a upstream.
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

std::size_t mostInWindow(const std::vector<Instant>& arrivals)
{
    std::size_t most = 0;
    for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
        const auto end = std::lower_bound(it, arrivals.end(), *it + window);
        most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
}

} // namespace

TEST_CASE("A cold upstream gets no more than its rate from all VMs together", "[coldupstreams]")
{
    const bool keyed = GENERATE(false, true);
    INFO((keyed ? "with keys" : "without keys"));
    TestEnvironment environment;
    TestUpstream& plain = addUpstream(environment, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    TestUpstream& holder = addUpstream(environment, "i-3", "keyed", true);
    TestUpstream& cold = keyed ? holder : plain;
    startReadyVm(environment);
    while (environment.vms.size() < vmCount)
        startVm(environment);
    runFor(environment, 7000ms);
    for (const std::unique_ptr<Edge::Service>& vm : environment.vms) {
        vm->node.settings.operatingLimits.coldExcessFactor = coldExcessFactor;
        vm->node.settings.operatingLimits.coldExcessRequests = coldExcessRequests;
    }
    publishColdRates(environment);
    publishColdTime(environment, cold, "20s");
    runFor(environment, 1000ms);
    std::vector<Instant> arrivals;
    recordArrivals(cold, arrivals);
    const Callers callers = sendFor(environment, 8000ms, keyed);
    CHECK(mostInWindow(arrivals) <= maxArrivals);
    CHECK(callers.ended == callers.sent);
    CHECK(callers.refusedWithoutDelay == 0);
    // Without keys the warm upstream serves the requests.
    if (!keyed)
        CHECK(callers.served == callers.sent);
    else {
        CHECK(callers.refused > 0);
        CHECK(arrivals.size() >= 5);
    }

    publishColdTime(environment, cold, "0ms");
    runFor(environment, 1000ms);
    const Callers afterwards = sendFor(environment, 1000ms, keyed);
    CHECK(afterwards.served == afterwards.sent);
}

TEST_CASE("An upstream is cold by its entry, its responses, or its return after a refusal", "[coldupstreams]")
{
    enum class Sign { None, Response, ResponseOfFormerProcess, Return, ReturnThenReport };
    struct Row {
        const char* name;
        const char* reported;
        Sign sign;
        bool isCold;
    };
    const Row row = GENERATE(values<Row>({
        { "warm", "0ms", Sign::None, false },
        { "by its entry", "5s", Sign::None, true },
        { "by a response", "0ms", Sign::Response, true },
        { "a response of a former process", "0ms", Sign::ResponseOfFormerProcess, false },
        { "back after a refusal", "0ms", Sign::Return, true },
        { "reported warm after that", "0ms", Sign::ReturnThenReport, false },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    publishColdRates(environment);
    publishColdTime(environment, upstream, row.reported);
    runFor(environment, 500ms);
    Edge::Node& node = vm.node;
    const Utils::UpstreamId id { "i-1" };
    Platform::ServerHeaders headers;
    headers.remainingColdTime = 5s;
    if (row.sign == Sign::Response)
        Edge::recordColdTime(node, id, upstream.startTimeMs, headers);
    if (row.sign == Sign::ResponseOfFormerProcess)
        Edge::recordColdTime(node, id, upstream.startTimeMs + 1, headers);
    if (row.sign == Sign::Return || row.sign == Sign::ReturnThenReport) {
        Edge::recordConnectionMade(node, id);
        CHECK(Edge::findColdBudget(node, id, Edge::now()) == nullptr);
        Edge::recordConnectionRefused(node, id);
        Edge::recordConnectionMade(node, id);
    }
    if (row.sign == Sign::ReturnThenReport) {
        publishColdTime(environment, upstream, "0ms");
        runFor(environment, 500ms);
    }
    CHECK((Edge::findColdBudget(node, id, Edge::now()) != nullptr) == row.isCold);
    CHECK(Edge::countColdUpstreams(node) == (row.isCold ? 1 : 0));
}
