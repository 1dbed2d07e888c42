#include "testenvironment.h"

#include <edge/clock.h>
#include <edge/relaysource.h>
#include <edge/relaysubscriber.h>
#include <edge/relaytree.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t leader = 0;
constexpr std::size_t relay = 1;
constexpr std::size_t leaf = 2;

/// Time in which a change must be in force on all VMs of a large fleet, and of a small one.
constexpr std::chrono::milliseconds largeFleetChangeTimeout = 4000ms;
constexpr std::chrono::milliseconds smallFleetChangeTimeout = 2500ms;

Edge::Node& nodeOf(TestEnvironment& environment, std::size_t vm) { return environment.vms[vm]->node; }

bool isLeading(const Edge::Node& node)
{
    return Granting::holdsLeaderLease(node.leader.leadership, Edge::now());
}

bool isUsable(const Edge::Node& node, const char* upstream)
{
    return Routing::findUsable(node.clusterView.directory, { upstream }) != nullptr;
}

Edge::Service& startVmOfLargeFleet(TestEnvironment& environment)
{
    Edge::Service& vm = startVm(environment);
    vm.node.relay.maxDirectSubscribers = 1;
    vm.node.settings.operatingLimits.configurationApplyTimeout = largeFleetChangeTimeout;
    vm.node.settings.operatingLimits.drainTimeout = largeFleetChangeTimeout;
    return vm;
}

/// Starts a leader that serves one VM itself, that VM, which is a relay, and one that it serves.
void startTree(TestEnvironment& environment)
{
    Edge::Node& first = startReadyVm(environment).node;
    first.relay.maxDirectSubscribers = 1;
    REQUIRE(runUntil(environment, [&first] { return isLeading(first); }));
    startVmOfLargeFleet(environment);
    REQUIRE(runUntil(environment, [&] { return nodeOf(environment, relay).relay.isSubscribed; }));
    startVmOfLargeFleet(environment);
    REQUIRE(runUntil(environment, [&] { return nodeOf(environment, leaf).relay.isSubscribed; }));
    REQUIRE(runUntil(
        environment, [&] { return nodeOf(environment, leaf).relay.vmCount == 3; }, 8000ms));
    REQUIRE(runUntil(environment, [&] { return !nodeOf(environment, leaf).relay.peers.empty(); }));
}

} // namespace

TEST_CASE("A VM without a source turns to the leader that another VM has named", "[latechanges]")
{
    // Guards against a VM that asks one peer after the other who leads, until the search for a source ends
    // and it reads the store.
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startTree(environment);
    Edge::Node& node = nodeOf(environment, leaf);
    const StandInStore::StoreDoor& door = separateStoreAccess(environment, *environment.vms[leaf]);
    // It knows a former leader, which is gone, and VMs that are no sources but know the leader.
    Granting::Leadership& leadership = node.leader.leadership;
    --*leadership.logEnd;
    leadership.lastRecord->vm = { "former" };
    leadership.lastRecord->loadReportEndpoint = { "127.0.0.1", 1 };
    node.relay.peers = { nodeOf(environment, relay).settings.address };
    Edge::Internal::closeLink(node, Edge::Internal::LinkPtr(node.relay.sourceLink), "test");
    CHECK(runUntil(
        environment, [&node] { return node.relay.isSubscribed; }, 700ms));
    CHECK(door.calls == 0);
}

TEST_CASE("A VM whose calls the store rejects finds a source although the leader's are rejected, too",
    "[latechanges]")
{
    // Guards against a VM that stays with a leader that is not fresh, as it can't read the store itself,
    // while other VMs can.
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    Edge::Node& first = startReadyVm(environment).node;
    REQUIRE(runUntil(environment, [&first] { return isLeading(first); }));
    for (std::size_t vm = 1; vm < 4; ++vm)
        startVm(environment);
    REQUIRE(runUntil(environment, [&environment] {
        return std::all_of(environment.vms.begin() + 1, environment.vms.end(),
            [](const std::unique_ptr<Edge::Service>& vm) { return vm->node.relay.peers.size() == 3; });
    }));
    Edge::Node& rejected = nodeOf(environment, 3);
    for (const std::size_t vm : { std::size_t(0), std::size_t(3) })
        separateStoreAccess(environment, *environment.vms[vm]).refuses = true;
    // The connections to the store that were open before are used until a read has ended.
    runFor(environment, 900ms);
    publishConfiguration(environment, 2);
    publishUpstreamEntry(environment, upstream, "draining");
    CHECK(runUntil(
        environment,
        [&rejected] {
            return rejected.clusterView.routeTable->configuration.version == 2 && !isUsable(rejected, "i-1");
        },
        smallFleetChangeTimeout));
}

TEST_CASE("The waits of a VM for its source end before a change is due", "[latechanges]")
{
    // Guards against waits that are bounded one by one, but together last longer than a change may take: the
    // patience with a late relay and the search for another source.
    struct Row {
        const char* name;
        std::vector<std::size_t> rejectedVms;
    };
    const Row row = GENERATE(values<Row>({
        { "the leader can't read the store", { leader } },
        { "the leader and the relay can't", { leader, relay } },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    startTree(environment);
    for (const std::size_t vm : row.rejectedVms)
        separateStoreAccess(environment, *environment.vms[vm]).refuses = true;
    runFor(environment, 900ms);
    publishConfiguration(environment, 2);
    publishUpstreamEntry(environment, upstream, "draining");
    const Edge::Node& node = nodeOf(environment, leaf);
    CHECK(runUntil(
        environment,
        [&node] { return node.clusterView.routeTable->configuration.version == 2 && !isUsable(node, "i-1"); },
        largeFleetChangeTimeout));
}

TEST_CASE(
    "VMs with more capacity are next to the leader, whatever the order in which VMs come", "[latechanges]")
{
    // Guards against a fleet whose relays, and whose next leader, are the VMs that came first: changes waited
    // for seconds on the link of a leader with a tenth of a core.
    struct Row {
        const char* name;
        std::vector<double> cpuShares;
        std::size_t strongVm;
        /// VMs that the leader serves in the end.
        std::size_t directVms;
    };
    const Row row = GENERATE(values<Row>({
        { "the strong VM comes first", { 0.5, 0.1, 0.1 }, 1, 2 },
        { "the strong VM comes last", { 0.1, 0.1, 0.5 }, 3, 2 },
        { "all others relay already", { 0.1, 0.1, 0.1, 0.1, 0.5 }, 5, 3 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    Edge::Node& first = startReadyVm(environment).node;
    first.relay.maxDirectSubscribers = 2;
    REQUIRE(runUntil(environment, [&first] { return isLeading(first); }));
    for (const double cpuShare : row.cpuShares) {
        Edge::Node& node = startVmOfLargeFleet(environment).node;
        node.relay.maxDirectSubscribers = 2;
        node.settings.cpuShare = cpuShare;
        REQUIRE(runUntil(environment, [&node] { return node.relay.isSubscribed; }));
    }
    runFor(environment, 1500ms);
    CHECK(std::all_of(environment.vms.begin() + 1, environment.vms.end(),
        [](const std::unique_ptr<Edge::Service>& vm) { return vm->node.relay.isSubscribed; }));
    const Edge::Node& strong = nodeOf(environment, row.strongVm);
    CHECK(strong.relay.sourceKind == Edge::SourceKind::Leader);
    CHECK(Edge::Internal::subscribedLinks(first).size() == row.directVms);
    REQUIRE(runUntil(environment, [&strong] { return !strong.relay.peers.empty(); }));
    CHECK(Edge::Internal::subscriberAddresses(first).front() == strong.settings.address);
    killVm(environment, leader);
    REQUIRE(runUntil(environment, [&environment] {
        return std::any_of(environment.vms.begin() + 1, environment.vms.end(),
            [](const std::unique_ptr<Edge::Service>& vm) { return isLeading(vm->node); });
    }));
    CHECK(isLeading(strong));
}

TEST_CASE(
    "A VM leaves a source that calls itself fresh although nobody confirms its records", "[latechanges]")
{
    // Guards against VMs that have become the source of each other: each called the other one fresh, and a
    // configuration was missed for good.
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startTree(environment);
    Edge::Node& source = nodeOf(environment, relay);
    source.relay.timer.cancel();
    source.relay.isApplyingUpdate = true;
    publishConfiguration(environment, 2);
    Edge::Node& node = nodeOf(environment, leaf);
    const Edge::Internal::LinkPtr link = node.relay.sourceLink;
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    CHECK(runUntil(
        environment,
        [&] {
            Relay::Update update = Edge::Internal::makeUpdate(source, {});
            update.isFresh = true;
            update.recordsAge = std::chrono::duration_cast<Utils::Duration>(
                1000ms + (std::chrono::steady_clock::now() - start));
            if (node.relay.sourceLink == link) {
                node.relay.lastReceivedAt = Edge::now();
                Edge::Internal::handleUpdate(node, link, update);
            }
            return node.clusterView.routeTable->configuration.version == 2;
        },
        largeFleetChangeTimeout + 1000ms));
}

TEST_CASE("The leader leaves VMs with subscribers in their place, also when they have just come back",
    "[latechanges]")
{
    // Guards against relays that are redirected to others: their subscribers were a level too deep, or a
    // relay got its records through one of them.
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startTree(environment);
    Edge::Node& first = nodeOf(environment, leader);
    nodeOf(environment, relay).settings.cpuShare = 0.1;
    Edge::Internal::closeLink(nodeOf(environment, relay),
        Edge::Internal::LinkPtr(nodeOf(environment, relay).relay.sourceLink), "test");
    REQUIRE(runUntil(environment, [&] { return nodeOf(environment, relay).relay.isSubscribed; }));
    const std::vector<Edge::Internal::LinkPtr> links = Edge::Internal::subscribedLinks(first);
    REQUIRE(links.size() == 1);
    CHECK(links.front()->redirects + links.front()->relayedMembers.size() == 1);
}
