#include "testenvironment.h"

#include <edge/clock.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t requestCount = 30;
constexpr std::chrono::milliseconds requestGap = 20ms;

bool isEvacuated(const Edge::Service& vm, const char* zone = "z2")
{
    return Routing::findEvacuation(vm.node.clusterView.evacuations, { zone }) != nullptr;
}

bool areKeysHeldOutside(const Edge::Service& vm, const std::string& zone)
{
    const auto keyed = vm.node.clusterView.assignments.find({ "keyed" });
    return keyed != vm.node.clusterView.assignments.end() && !keyed->second.segments.empty()
        && std::all_of(keyed->second.segments.begin(), keyed->second.segments.end(),
            [&zone](const Granting::Segment& segment) {
                return segment.isConfirmed && segment.holder.value.find(zone) == std::string::npos;
            });
}

/// Two upstreams of both services in each of two zones, a leader and a subscriber of it.
struct TwoZones {
    TwoZones()
    {
        this->environment.regionByZone = { { { "z1" }, { "r1" } }, { { "z2" }, { "r1" } } };
        for (const char* const zone : { "z1", "z2" }) {
            for (const char* const number : { "-1", "-2" }) {
                addUpstream(this->environment, std::string("i-") + zone + number, "plain", false, zone);
                addUpstream(this->environment, std::string("k-") + zone + number, "keyed", true, zone);
            }
        }
        startReadyVm(this->environment);
        // Of two VMs that start together either may become the leader.
        REQUIRE(runUntil(this->environment, [this] { return areKeysHeldOutside(vm(0), "none"); }));
        startVm(this->environment);
        REQUIRE(runUntil(this->environment, [this] {
            return vm(1).node.relay.isSubscribed && areKeysHeldOutside(vm(0), "none")
                && areKeysHeldOutside(vm(1), "none");
        }));
    }

    Edge::Service& vm(std::size_t index) { return *this->environment.vms[index]; }

    bool areAllEvacuated(bool expected, const char* zone = "z2") const
    {
        return std::all_of(this->environment.vms.begin(), this->environment.vms.end(),
            [&](const std::unique_ptr<Edge::Service>& each) { return isEvacuated(*each, zone) == expected; });
    }

    std::size_t countRuns(const std::string& zone) const
    {
        std::size_t runs = 0;
        for (const std::unique_ptr<TestUpstream>& upstream : this->environment.upstreams)
            runs += upstream->zone == zone ? upstream->standIn.ran.size() : 0;
        return runs;
    }

    /// Sends requests to both VMs in turn. Returns how many were served.
    std::size_t sendRequests(const std::string& kind, std::size_t count = requestCount)
    {
        std::size_t served = 0;
        for (std::size_t index = 0; index < count; ++index) {
            CallerRequest request;
            request.path = "/" + kind + "/1";
            if (kind == "key")
                request.key = static_cast<unsigned>(index * 6997 % 65536);
            served += sendRequest(this->environment, vm(index % 2), request).status == 200 ? 1 : 0;
            runFor(this->environment, requestGap);
        }
        return served;
    }

    TestEnvironment environment;
};

} // namespace

TEST_CASE("An evacuated zone gets no requests until it is taken back", "[evacuations]")
{
    TwoZones zones;
    // The zone of the VMs, which is preferred otherwise.
    CHECK(zones.sendRequests("safe") == requestCount);
    CHECK(zones.countRuns("z1") > 0);
    publishEvacuation(zones.environment, "z1", true);
    REQUIRE(runUntil(
        zones.environment, [&] { return zones.areAllEvacuated(true, "z1"); }, 2000ms));
    const std::size_t runsBefore = zones.countRuns("z1");
    CHECK(zones.sendRequests("safe") == requestCount);
    CHECK(zones.countRuns("z1") == runsBefore);
    publishEvacuation(zones.environment, "z1", false);
    REQUIRE(runUntil(
        zones.environment, [&] { return zones.areAllEvacuated(false, "z1"); }, 2000ms));
    CHECK(zones.vm(1).node.clusterView.evacuations.byZone.at({ "z1" }).endedAt > Utils::Instant {});
    CHECK(zones.sendRequests("safe") == requestCount);
    CHECK(zones.countRuns("z1") > runsBefore);
}

TEST_CASE("All keys leave an evacuated zone while they are served", "[evacuations]")
{
    // Load pattern: a whole zone is evacuated, so that all its keys move at once, under constant requests.
    TwoZones zones;
    CHECK(zones.sendRequests("key") == requestCount);
    CHECK(zones.countRuns("z2") > 0);
    publishEvacuation(zones.environment, "z2", true);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const std::chrono::steady_clock::time_point end
        = start + zones.vm(0).node.settings.operatingLimits.evacuationTimeout;
    constexpr std::size_t batch = 10;
    std::size_t sent = 0;
    std::size_t served = 0;
    while (std::chrono::steady_clock::now() < end) {
        served += zones.sendRequests("key", batch);
        sent += batch;
    }
    CHECK(served == sent);
    CHECK(areKeysHeldOutside(zones.vm(1), "z2"));
    const std::size_t runsBefore = zones.countRuns("z2");
    CHECK(zones.sendRequests("key") == requestCount);
    CHECK(zones.countRuns("z2") == runsBefore);
}

TEST_CASE("Requests are rejected at once when all zones are evacuated", "[evacuations]")
{
    TwoZones zones;
    publishEvacuation(zones.environment, "z1", true);
    publishEvacuation(zones.environment, "z2", true);
    REQUIRE(runUntil(zones.environment,
        [&] { return zones.areAllEvacuated(true, "z1") && zones.areAllEvacuated(true, "z2"); }));
    const CallerResponse response = sendRequest(zones.environment, zones.vm(1), {});
    CHECK(response.status == 503);
    CHECK(response.body == "zones_evacuated\n");
    CHECK(response.elapsed < 200ms);
}

TEST_CASE("Unusable records of evacuations change nothing and are counted", "[evacuations]")
{
    struct Row {
        const char* key;
        const char* value;
        Platform::DecodeError error;
    };
    const Row row = GENERATE(values<Row>({
        { "evacuate/nowhere", "{}", Platform::DecodeError::UnknownValue },
        { "evacuate/z2", "{", Platform::DecodeError::Unreadable },
    }));
    INFO(row.key << " " << row.value);
    TwoZones zones;
    StandInStore::putRecord(zones.environment.store, "keyed.op", row.key, row.value);
    CHECK(runUntil(
        zones.environment, [&] { return zones.vm(0).node.counters.decodeErrors.count(row.error) == 1; },
        2000ms));
    CHECK(Routing::countEvacuated(zones.vm(0).node.clusterView.evacuations) == 0);
}

TEST_CASE("A VM that starts after the history was dropped learns of evacuations", "[evacuations]")
{
    TwoZones zones;
    publishEvacuation(zones.environment, "z2", true);
    REQUIRE(runUntil(
        zones.environment, [&] { return zones.areAllEvacuated(true); }, 2000ms));
    StandInStore::compact(zones.environment.store, "keyed.op");
    Edge::Service& started = startVm(zones.environment, false, true);
    CHECK(runUntil(zones.environment, [&] { return isEvacuated(started); }));
    // It may have been in force for long, so that holders of keys get nothing either.
    CHECK(
        Routing::findEvacuation(started.node.clusterView.evacuations, { "z2" })->since == Utils::Instant {});
}

TEST_CASE("A subscriber learns that an evacuation has ended that its source never knew", "[evacuations]")
{
    TwoZones zones;
    Edge::Service& subscriber = zones.vm(1);
    // As if it had read the record, and the source had first read the topic after the removal.
    Routing::startEvacuation(subscriber.node.clusterView.evacuations, { "z2" }, 0, Edge::now());
    for (auto it = zones.vm(0).node.relay.subscribers.begin(); it != zones.vm(0).node.relay.subscribers.end();
         ++it)
        it->second->socket.close();
    CHECK(runUntil(
        zones.environment, [&] { return !isEvacuated(subscriber); }, 5000ms));
}

TEST_CASE("An evacuation takes a configuration along whose relay was deferred", "[evacuations]")
{
    // Load pattern: configurations in quick succession, of which only some are relayed.
    TwoZones zones;
    publishConfiguration(zones.environment, 2);
    REQUIRE(runUntil(zones.environment,
        [&] { return zones.vm(0).node.clusterView.routeTable->configuration.version == 2; }));
    publishConfiguration(zones.environment, 3);
    REQUIRE(runUntil(zones.environment,
        [&] { return zones.vm(0).node.clusterView.routeTable->configuration.version == 3; }));
    publishEvacuation(zones.environment, "z2", true);
    REQUIRE(runUntil(
        zones.environment, [&] { return isEvacuated(zones.vm(1)); }, 400ms));
    CHECK(zones.vm(1).node.clusterView.routeTable->configuration.version == 3);
}
