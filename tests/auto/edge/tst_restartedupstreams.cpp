#include "testenvironment.h"

#include <balancing/poisonrequesttracker.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t upstreamCount = 4;
/// How long an upstream works on a request that is to be in flight.
constexpr std::chrono::milliseconds longWork = 400ms;

/// What tells a VM that the former process of an upstream has ended.
enum class Evidence {
    OtherIdResponds,
    RestartReported,
    EntryLapsed,
};

struct Row {
    const char* name;
    Evidence evidence;
    /// A request may be sent to three upstreams, of which at least one is to serve it.
    std::size_t restarted;
};

struct Callers {
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::size_t served = 0;
    std::size_t quarantined = 0;
};

void sendPopular(TestEnvironment& environment, Callers& callers)
{
    Platform::HttpRequest request(http::verb::get, "/safe/popular", 11);
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", "popular" + std::to_string(++callers.sent));
    request.set("X-Deadline-Ms", "1500");
    request.prepare_payload();
    Edge::startCall(environment.callPool, environment.vms.front()->node.settings.callerEndpoint,
        std::move(request), 3s, [&callers](const Edge::CallResponse& response) {
            ++callers.ended;
            callers.served += response.status == 200 ? 1 : 0;
            callers.quarantined += response.body == "poison_held\n" ? 1 : 0;
        });
}

void apply(TestEnvironment& environment, Evidence evidence, TestUpstream& upstream)
{
    switch (evidence) {
    case Evidence::OtherIdResponds:
        upstream.standIn.id += ".2";
        break;
    case Evidence::RestartReported:
        ++upstream.startTimeMs;
        upstream.sequenceNumber = 0;
        publishUpstreamEntry(environment, upstream);
        break;
    case Evidence::EntryLapsed:
        removeUpstreamEntry(environment, upstream);
        break;
    }
}

std::size_t countCrashes(const Edge::Service& vm)
{
    std::size_t crashes = 0;
    for (const auto& [fingerprint, suspect] : vm.node.traffic.poisonRequests.suspects)
        crashes += suspect.crashes.size();
    return crashes;
}

} // namespace

TEST_CASE("A request that reaches an upstream's successor is not taken for the cause of its end",
    "[restartedupstreams]")
{
    const Row row = GENERATE(values<Row>({
        { "another upstream at the address refuses it", Evidence::OtherIdResponds, 2 },
        { "the restart is reported while it runs", Evidence::RestartReported, 3 },
        { "the entry lapses while it runs", Evidence::EntryLapsed, 3 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    Callers callers;
    for (std::size_t index = 1; index <= upstreamCount; ++index)
        addUpstream(environment, "i-" + std::to_string(index), "plain");
    Edge::Service& vm = startReadyVm(environment);
    if (row.evidence == Evidence::OtherIdResponds) {
        for (std::size_t index = 0; index < row.restarted; ++index)
            apply(environment, row.evidence, *environment.upstreams[index]);
    }
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        upstream->standIn.work = longWork;
    for (std::size_t request = 0; request < 2 * upstreamCount; ++request)
        sendPopular(environment, callers);
    runFor(environment, longWork / 4);
    if (row.evidence != Evidence::OtherIdResponds) {
        for (std::size_t index = 0; index < row.restarted; ++index)
            apply(environment, row.evidence, *environment.upstreams[index]);
    }
    runFor(environment, longWork / 4);
    CHECK(countCrashes(vm) == 0);
    sendPopular(environment, callers);
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    CHECK(callers.quarantined == 0);
    CHECK(callers.served == callers.sent);
}
