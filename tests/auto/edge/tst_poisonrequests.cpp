#include "crashingupstreams.h"

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t vmCount = 6;
/// The platform's bounds: time after the third crash, and retries that may reach upstreams later than that.
constexpr std::chrono::milliseconds stability = 3s;
constexpr std::size_t maxLateRetries = 3;

bool isLeader(const Edge::Service& vm) { return vm.node.leader.leadership.term.has_value(); }

/// Starts VMs, of which the first is the leader and the others subscribe to it.
void startVms(TestEnvironment& environment)
{
    Edge::Service& first = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&first] { return isLeader(first); }));
    while (environment.vms.size() < vmCount)
        startVm(environment);
    REQUIRE(runUntil(environment, [&environment] {
        return std::all_of(environment.vms.begin() + 1, environment.vms.end(),
            [](const std::unique_ptr<Edge::Service>& vm) { return vm->node.relay.isSubscribed; });
    }));
    // Until subscribers have joined, the leader does not know the number of VMs.
    runFor(environment, 6000ms);
}

CallerRequest poisonRequest(bool unsafe)
{
    CallerRequest request;
    request.path = unsafe ? "/unsafe/poison" : "/safe/poison";
    request.method = unsafe ? http::verb::post : http::verb::get;
    return request;
}

struct Row {
    const char* name;
    bool unsafe;
    bool storeAway;
    bool leaderKilled;
};

} // namespace

TEST_CASE("A request that crashes its upstreams is not sent on by one VM after the other", "[poisonrequests]")
{
    const Row row = GENERATE(values<Row>({
        { "unsafe", true, false, false },
        { "idempotent", false, false, false },
        { "the store is away", true, true, false },
        { "the leader is killed", true, false, true },
        { "the store is away and the leader is killed", true, true, true },
    }));
    INFO(row.name);
    TestEnvironment environment;
    CrashingUpstreams crashing(environment);
    addCrashingUpstreams(crashing, 10);
    startVms(environment);
    for (std::size_t round = 0; round < 2 * vmCount; ++round) {
        if (round == 2 && row.storeAway)
            environment.store.faults.outage = true;
        if (round == 2 && row.leaderKilled)
            killVm(environment, 0);
        const std::size_t vm = round % vmCount;
        if (vm > 0 || !row.leaderKilled || round < 2)
            sendRequest(environment, *environment.vms[vm], poisonRequest(row.unsafe));
        runFor(environment, 1000ms);
    }
    CHECK(crashesAfterThird(crashing, stability) <= maxLateRetries);
    environment.store.faults.outage = false;
    CHECK(sendRequest(environment, *environment.vms[1], {}).status == 200);
}

TEST_CASE("Harmless requests are served while others crash their upstreams", "[poisonrequests]")
{
    // Guards against quarantining requests that were in flight at upstreams which another request crashed.
    TestEnvironment environment;
    CrashingUpstreams crashing(environment);
    addCrashingUpstreams(crashing, 10);
    startVms(environment);
    std::size_t served = 0;
    std::size_t sent = 0;
    for (std::size_t round = 0; round < 30; ++round) {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            CallerRequest harmless;
            harmless.path = "/safe/popular" + std::to_string(vm % 2);
            ++sent;
            served += sendRequest(environment, *environment.vms[vm], harmless).status == 200 ? 1 : 0;
        }
        if (round % 5 == 0)
            sendRequest(environment, *environment.vms[round / 5 % vmCount], poisonRequest(false));
        runFor(environment, 100ms);
    }
    CHECK(served == sent);
}

TEST_CASE("A request stays quarantined when all VMs have been restarted", "[poisonrequests]")
{
    TestEnvironment environment;
    CrashingUpstreams crashing(environment);
    addCrashingUpstreams(crashing, 6);
    Edge::Service& former = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&former] { return isLeader(former); }));
    for (int request = 0; request < 4; ++request)
        sendRequest(environment, former, poisonRequest(true));
    REQUIRE(crashing.crashTimes.size() == 3);
    runFor(environment, 2500ms);
    killVm(environment, 0);
    Edge::Service& restarted = startVm(environment);
    REQUIRE(runUntil(
        environment, [&restarted] { return isLeader(restarted); }, 8000ms));
    runFor(environment, 1000ms);
    CHECK(sendRequest(environment, restarted, poisonRequest(true)).status == 503);
    CHECK(crashing.crashTimes.size() == 3);
    CHECK(sendRequest(environment, restarted, {}).status == 200);
}

TEST_CASE("Upstreams that crash without closing their connections count as crashed", "[poisonrequests]")
{
    struct SilentRow {
        const char* name;
        unsigned deadlineMs;
    };
    const SilentRow row = GENERATE(values<SilentRow>({
        { "the attempt times out", 2000 },
        { "the caller's deadline passes", 300 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    CrashingUpstreams crashing(environment);
    crashing.silent = true;
    addCrashingUpstreams(crashing, 6);
    Edge::Service& vm = startReadyVm(environment);
    CallerRequest request = poisonRequest(true);
    request.deadlineMs = row.deadlineMs;
    for (int round = 0; round < 8; ++round) {
        sendRequest(environment, vm, request);
        runFor(environment, 1200ms);
    }
    CHECK(crashing.crashTimes.size() == 3);
    CHECK(sendRequest(environment, vm, {}).status == 200);
}

TEST_CASE("Crashes at more upstreams than are checked at once are all counted", "[poisonrequests]")
{
    // More than the checks of lost connections that a VM makes at the same time.
    constexpr unsigned upstreamCount = 80;
    TestEnvironment environment;
    CrashingUpstreams crashing(environment);
    addCrashingUpstreams(crashing, upstreamCount);
    Edge::Service& vm = startReadyVm(environment);
    std::size_t ended = 0;
    for (unsigned number = 0; number < upstreamCount; ++number) {
        Platform::HttpRequest request(http::verb::post, "/unsafe/" + std::to_string(number) + "/poison", 11);
        request.set(http::field::host, "a.example");
        request.set("X-Request-Id", "p" + std::to_string(number));
        request.set("X-Deadline-Ms", "1500");
        request.prepare_payload();
        Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, std::move(request), 3s,
            [&ended](const Edge::CallResponse&) { ++ended; });
    }
    REQUIRE(runUntil(environment, [&ended] { return ended == upstreamCount; }));
    runFor(environment, 3000ms);
    std::size_t counted = 0;
    for (const auto& [fingerprint, suspect] : vm.node.traffic.poisonRequests.suspects)
        counted += suspect.crashes.empty() ? 0 : 1;
    CHECK(counted == crashing.crashTimes.size());
    CHECK(crashing.crashTimes.size() > 64);
    for (unsigned number = 0; number < upstreamCount; ++number)
        CHECK(sendRequest(environment, vm, {}).status == 200);
}
