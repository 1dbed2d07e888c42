#include "testenvironment.h"

#include <edge/guardedtimer.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/// Lets the process stand still, so that timers and sockets become ready together.
void pauseProcess(std::chrono::milliseconds length) { std::this_thread::sleep_for(length); }

enum class Change { None, Restarted, Cancelled };

struct Row {
    const char* name;
    Change change;
    /// The change is made by a handler that is queued before the timer's, or after it.
    bool changedFirst;
    unsigned runs;
};

} // namespace

TEST_CASE("A handler that was queued before its timer was started again or cancelled does not run",
    "[guardedtimer]")
{
    const Row row = GENERATE(values<Row>({
        { "unchanged", Change::None, true, 1 },
        { "started again before", Change::Restarted, true, 0 },
        { "cancelled before", Change::Cancelled, true, 0 },
        { "started again after", Change::Restarted, false, 1 },
        { "cancelled after", Change::Cancelled, false, 1 },
    }));
    INFO(row.name);
    boost::asio::io_context context;
    Edge::GuardedTimer timer(context);
    Edge::GuardedTimer other(context);
    unsigned runs = 0;
    Edge::startTimer(timer, row.changedFirst ? 5ms : 1ms, [&runs] { ++runs; });
    Edge::startTimer(other, row.changedFirst ? 1ms : 5ms, [&] {
        if (row.change == Change::Restarted)
            Edge::startTimer(timer, 1h, [&runs] { ++runs; });
        if (row.change == Change::Cancelled)
            Edge::cancelTimer(timer);
    });
    pauseProcess(10ms);
    context.run_for(20ms);
    CHECK(runs == row.runs);
}

TEST_CASE(
    "A request that was sent after a pause is not rejected by the expired connect timeout", "[guardedtimer]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    std::optional<Edge::CallResponse> response;
    Platform::HttpRequest request(http::verb::post, "/unsafe/1", 11);
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", "paused");
    request.set("X-Deadline-Ms", "3000");
    request.prepare_payload();
    Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, std::move(request), 5s,
        [&response](const Edge::CallResponse& received) { response = received; });
    // The connection to the upstream has been begun, and neither its end nor its timeout has been handled.
    REQUIRE(runUntil(environment, [&vm] { return !vm.node.traffic.upstreamConnections.empty(); }));
    pauseProcess(450ms);
    REQUIRE(runUntil(environment, [&response] { return response.has_value(); }));
    CHECK(response->status == 200);
    runFor(environment, 100ms);
    CHECK(upstream.standIn.ran.size() == 1);
}
