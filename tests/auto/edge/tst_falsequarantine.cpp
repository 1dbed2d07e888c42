#include "crashingupstreams.h"

#include <edge/clock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t vmCount = 4;
constexpr std::size_t cutVm = 2;
/// An offset at which no upstream listens: new connections are refused.
constexpr std::uint16_t unusedPortOffset = 1;
/// The platform's bounds: time after the third crash, and retries that may reach upstreams later than that.
constexpr std::chrono::milliseconds stability = 3s;
constexpr std::size_t maxLateRetries = 3;
/// Links that fail in turn are cut for the first waves of each turn.
constexpr std::size_t wavesPerTurn = 5;
constexpr std::size_t cutWavesPerTurn = 3;

bool isCutInWave(std::size_t wave) { return wave % wavesPerTurn < cutWavesPerTurn; }

void startVms(TestEnvironment& environment)
{
    Edge::Service& first = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&first] { return first.node.leader.leadership.term.has_value(); }));
    while (environment.vms.size() < vmCount)
        startVm(environment);
    REQUIRE(runUntil(environment, [&environment] {
        return std::all_of(environment.vms.begin() + 1, environment.vms.end(),
            [](const std::unique_ptr<Edge::Service>& vm) { return vm->node.relay.isSubscribed; });
    }));
    // Until subscribers have joined, the leader does not know the number of VMs.
    runFor(environment, 3000ms);
}

/// Ends the connections of \a vm to the upstreams that \a isCut selects, as a reset does.
void resetConnections(Edge::Service& vm, const std::function<bool(const Utils::UpstreamId&)>& isCut)
{
    for (auto& [id, connection] : vm.node.traffic.upstreamConnections) {
        boost::system::error_code ignored;
        if (isCut(connection->upstream))
            connection->socket.shutdown(Edge::Tcp::socket::shutdown_both, ignored);
    }
}

/// Callers that send harmless requests with the same two paths through all VMs at once.
struct HarmlessCallers {
    explicit HarmlessCallers(TestEnvironment& environment)
        : environment(environment)
    {
    }

    TestEnvironment& environment;
    std::size_t sent = 0;
    std::size_t ended = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
};

void sendHarmless(HarmlessCallers& callers, const Edge::Service& vm)
{
    const bool unsafe = callers.sent % 2 == 0;
    const std::string path = unsafe ? "/unsafe/popular" : "/safe/popular";
    Platform::HttpRequest request(unsafe ? http::verb::post : http::verb::get, path, 11);
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", "h" + std::to_string(++callers.sent));
    request.set("X-Deadline-Ms", "1000");
    request.prepare_payload();
    Edge::startCall(callers.environment.callPool, vm.node.settings.callerEndpoint, std::move(request), 3s,
        [&callers](const Edge::CallResponse& response) {
            ++callers.ended;
            callers.served += response.status == 200 ? 1 : 0;
            callers.refused += response.body == "poison_held\n" ? 1 : 0;
        });
}

void sendWave(HarmlessCallers& callers, std::size_t perVm)
{
    for (const std::unique_ptr<Edge::Service>& vm : callers.environment.vms) {
        for (std::size_t request = 0; request < perVm; ++request)
            sendHarmless(callers, *vm);
    }
}

std::size_t countCrashes(const Edge::Service& vm)
{
    std::size_t crashes = 0;
    for (const auto& [fingerprint, suspect] : vm.node.traffic.poisonRequests.suspects)
        crashes += suspect.crashes.size();
    return crashes;
}

struct Row {
    const char* name;
    /// Whether new connections are refused for the first waves.
    bool refused;
    /// Whether links are back for a part of each turn.
    bool flaps;
    std::size_t perVm;
};

} // namespace

TEST_CASE("Harmless requests of a VM whose links fail are quarantined on no VM", "[falsequarantine]")
{
    const Row row = GENERATE(values<Row>({
        { "reset and refused", true, false, 12 },
        { "reset and refused, with few requests", true, false, 1 },
        { "reset, and new connections succeed", false, false, 12 },
        { "reset, and new connections succeed, with few requests", false, false, 1 },
        { "reset and refused, and back in turn", true, true, 12 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    HarmlessCallers callers(environment);
    for (unsigned index = 1; index <= 8; ++index)
        addUpstream(environment, "i-" + std::to_string(index), "plain").standIn.work = 20ms;
    startVms(environment);
    Edge::Service& vm = *environment.vms[cutVm];
    sendWave(callers, row.perVm);
    runFor(environment, 200ms);
    for (std::size_t wave = 0; wave < 40; ++wave) {
        const bool isBack = row.flaps && !isCutInWave(wave);
        vm.node.settings.upstreamPortOffset = row.refused && !isBack ? unusedPortOffset : 0;
        sendWave(callers, row.perVm);
        runFor(environment, 10ms);
        if (!isBack)
            resetConnections(vm, [](const Utils::UpstreamId&) { return true; });
        runFor(environment, 90ms);
    }
    vm.node.settings.upstreamPortOffset = 0;
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    CHECK(callers.refused == 0);
    const std::size_t servedBefore = callers.served;
    const std::size_t sentBefore = callers.sent;
    runFor(environment, 1000ms);
    for (std::size_t wave = 0; wave < 10; ++wave) {
        sendWave(callers, row.perVm);
        runFor(environment, 100ms);
    }
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    CHECK(callers.refused == 0);
    CHECK(callers.served - servedBefore == callers.sent - sentBefore);
}

TEST_CASE("The quarantine of harmless requests of a VM cut from a part of the upstreams is withdrawn",
    "[falsequarantine]")
{
    // The other VMs have responses of the upstreams that the cut VM takes for crashed.
    TestEnvironment environment;
    HarmlessCallers callers(environment);
    for (unsigned index = 1; index <= 8; ++index)
        addUpstream(environment, "i-" + std::to_string(index), "plain").standIn.work = 20ms;
    startVms(environment);
    Edge::Service& vm = *environment.vms[cutVm];
    const auto isCut = [](const Utils::UpstreamId& upstream) { return upstream.value <= "i-4"; };
    std::map<Utils::UpstreamId, std::uint16_t> ports;
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        ports[{ upstream->standIn.id }] = StandInSupport::portOf(upstream->httpServer);
    const auto setReachable = [&](bool reachable) {
        for (auto& [id, entry] : vm.node.clusterView.directory.entries) {
            if (isCut(id))
                entry.record.endpoint.port = reachable ? ports.at(id) : unusedPortOffset;
        }
    };
    for (std::size_t wave = 0; wave < 40; ++wave) {
        setReachable(!isCutInWave(wave));
        sendWave(callers, 12);
        runFor(environment, 10ms);
        if (isCutInWave(wave))
            resetConnections(vm, isCut);
        runFor(environment, 90ms);
    }
    setReachable(true);
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    runFor(environment, 1500ms);
    const std::size_t refusedBefore = callers.refused;
    const std::size_t servedBefore = callers.served;
    const std::size_t sentBefore = callers.sent;
    for (std::size_t wave = 0; wave < 10; ++wave) {
        sendWave(callers, 12);
        runFor(environment, 100ms);
    }
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    CHECK(callers.refused == refusedBefore);
    CHECK(callers.served - servedBefore == callers.sent - sentBefore);
}

TEST_CASE("Requests that crash upstreams are still held while another VM is partitioned", "[falsequarantine]")
{
    const bool unsafe = GENERATE(true, false);
    INFO((unsafe ? "unsafe" : "idempotent"));
    TestEnvironment environment;
    CrashingUpstreams crashing(environment);
    HarmlessCallers callers(environment);
    addCrashingUpstreams(crashing, 10);
    startVms(environment);
    Edge::Service& vm = *environment.vms[cutVm];
    sendWave(callers, 3);
    runFor(environment, 200ms);
    vm.node.settings.upstreamPortOffset = unusedPortOffset;
    CallerRequest poison;
    poison.path = unsafe ? "/unsafe/poison" : "/safe/poison";
    poison.method = unsafe ? http::verb::post : http::verb::get;
    for (std::size_t round = 0; round < 3 * vmCount; ++round) {
        for (std::size_t wave = 0; wave < 5; ++wave) {
            sendWave(callers, 1);
            runFor(environment, 10ms);
            resetConnections(vm, [](const Utils::UpstreamId&) { return true; });
            runFor(environment, 190ms);
        }
        sendRequest(environment, *environment.vms[round % vmCount], poison);
    }
    CHECK(crashing.crashTimes.size() >= 3);
    CHECK(crashesAfterThird(crashing, stability) <= maxLateRetries);
    CHECK(callers.refused == 0);
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
}

TEST_CASE("Crashes that a VM counts at upstreams which answer other VMs are withdrawn on all VMs",
    "[falsequarantine]")
{
    TestEnvironment environment;
    HarmlessCallers callers(environment);
    for (unsigned index = 1; index <= 8; ++index)
        addUpstream(environment, "i-" + std::to_string(index), "plain").standIn.work = 20ms;
    startVms(environment);
    Edge::Service& vm = *environment.vms[cutVm];
    sendWave(callers, 12);
    runFor(environment, 200ms);
    const auto setWork = [&environment](std::chrono::milliseconds work) {
        for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
            upstream->standIn.work = work;
    };
    setWork(400ms);
    // Only the cut VM sends these, and all of them are lost, so that no response clears them.
    std::size_t lost = 0;
    for (unsigned request = 0; request < 12; ++request) {
        Platform::HttpRequest once(http::verb::post, "/unsafe/once", 11);
        once.set(http::field::host, "a.example");
        once.set("X-Request-Id", "once" + std::to_string(request));
        once.set("X-Deadline-Ms", "1000");
        once.prepare_payload();
        Edge::startCall(environment.callPool, vm.node.settings.callerEndpoint, std::move(once), 3s,
            [&lost](const Edge::CallResponse& response) { lost += response.status == 502 ? 1 : 0; });
    }
    runFor(environment, 10ms);
    for (auto& [id, entry] : vm.node.clusterView.directory.entries) {
        if (id.value <= "i-4")
            entry.record.endpoint.port = unusedPortOffset;
    }
    setWork(20ms);
    resetConnections(vm, [](const Utils::UpstreamId& upstream) { return upstream.value <= "i-4"; });
    CHECK(runUntil(
        environment, [&vm] { return countCrashes(vm) >= 3; }, 200ms));
    resetConnections(vm, [](const Utils::UpstreamId&) { return true; });
    const std::vector<std::unique_ptr<Edge::Service>>& vms = environment.vms;
    for (std::size_t wave = 0; wave < 20; ++wave) {
        for (std::size_t index = 0; index < vmCount; ++index) {
            for (std::size_t request = 0; index != cutVm && request < 12; ++request)
                sendHarmless(callers, *vms[index]);
        }
        runFor(environment, 100ms);
    }
    CHECK(lost == 12);
    for (const std::unique_ptr<Edge::Service>& each : vms)
        CHECK(countCrashes(*each) == 0);
    CHECK(runUntil(environment, [&callers] { return callers.ended == callers.sent; }));
    CHECK(callers.refused == 0);
}
