#include "testenvironment.h"

#include <edge/clock.h>
#include <edge/relaysource.h>
#include <edge/relaysubscriber.h>
#include <granting/recordcodec.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

bool isLeader(const Edge::Service& vm) { return vm.node.leader.leadership.term.has_value(); }

/// Starts three VMs, of which the first is the leader and the others subscribe to it.
void startThreeVms(TestEnvironment& environment)
{
    Edge::Service& first = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&first] { return isLeader(first); }));
    Edge::Service& second = startVm(environment);
    Edge::Service& third = startVm(environment);
    REQUIRE(runUntil(
        environment, [&] { return second.node.relay.isSubscribed && third.node.relay.isSubscribed; }));
}

/// Whether \a upstream holds a key of the keyed service by the assignment that \a vm has.
bool holdsAnyKey(const Edge::Service& vm, const char* upstream)
{
    const auto found = vm.node.clusterView.assignments.find({ "keyed" });
    return found != vm.node.clusterView.assignments.end()
        && std::any_of(found->second.segments.begin(), found->second.segments.end(),
            [upstream](const Granting::Segment& segment) { return segment.holder.value == upstream; });
}

} // namespace

TEST_CASE("Subscribers stop reading the store while the leader relays new records", "[relay]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    runFor(environment, 1200ms);
    const unsigned before = environment.store.calls["/log-read"];
    runFor(environment, 3000ms);
    // The leader reads two topics in 700 ms each; three VMs would read twelve topics.
    CHECK(environment.store.calls["/log-read"] - before < 14);
    publishConfiguration(environment, 2);
    CHECK(runUntil(
        environment,
        [&] {
            return environment.vms[1]->node.clusterView.routeTable->configuration.version == 2
                && environment.vms[2]->node.clusterView.routeTable->configuration.version == 2;
        },
        500ms));
}

TEST_CASE("Changes of upstream entries reach all VMs through the leader", "[relay]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    const auto isUsable = [&](std::size_t vm) {
        return Routing::findUsable(environment.vms[vm]->node.clusterView.directory, { "i-1" }) != nullptr;
    };
    TestUpstream& addedUpstream = addUpstream(environment, "i-2", "plain");
    CHECK(runUntil(
        environment,
        [&] { return Routing::findUsable(environment.vms[2]->node.clusterView.directory, { "i-2" }); },
        800ms));
    publishUpstreamEntry(environment, upstream, "draining");
    CHECK(runUntil(
        environment, [&] { return !isUsable(1) && !isUsable(2); }, 800ms));
    removeUpstreamEntry(environment, addedUpstream);
    CHECK(runUntil(
        environment,
        [&] { return !Routing::findUsable(environment.vms[2]->node.clusterView.directory, { "i-2" }); },
        800ms));
}

TEST_CASE("Another VM becomes the leader when the leader terminates, and no record is missed", "[relay]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "k-1", "keyed", true);
    startThreeVms(environment);
    REQUIRE(runUntil(environment, [&upstream] { return !upstream.standIn.held.empty(); }));
    killVm(environment, 0);
    publishConfiguration(environment, 2);
    CHECK(runUntil(
        environment,
        [&] { return environment.vms[1]->node.clusterView.routeTable->configuration.version == 2; }, 2000ms));
    CHECK(runUntil(
        environment, [&] { return isLeader(*environment.vms[1]) || isLeader(*environment.vms[2]); }, 4000ms));
    CHECK(runUntil(
        environment,
        [&] {
            return environment.vms[1]->node.relay.isSubscribed || environment.vms[2]->node.relay.isSubscribed;
        },
        2000ms));
    // The key lease has not expired meanwhile.
    CHECK(upstream.standIn.held.front().until > std::chrono::steady_clock::now());
}

TEST_CASE("A VM that cannot connect to the store gets changes from the leader", "[relay]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    environment.vms[2]->node.settings.storeEndpoint = { "127.0.0.1", 1 };
    publishConfiguration(environment, 2);
    CHECK(runUntil(
        environment,
        [&] { return environment.vms[2]->node.clusterView.routeTable->configuration.version == 2; }, 500ms));
}

TEST_CASE("Subscribers soon leave a leader whose connection to the store is half-open", "[relay]")
{
    // Guards against subscribers that miss a configuration, as the last read of a disconnected leader is
    // considered fresh for too long (formerly two seconds).
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    runFor(environment, 500ms);
    // Nothing listens at this address: connections to it hang or fail, and the read in flight gets no
    // response.
    Edge::Node& leader = environment.vms[0]->node;
    for (auto it = leader.calls.calls.begin(); it != leader.calls.calls.end(); ++it)
        it->second->deadline = Utils::Instant::max();
    leader.settings.storeEndpoint = { "127.0.0.1", 1 };
    environment.store.faults.deaf = true;
    publishConfiguration(environment, 2);
    CHECK(runUntil(
        environment,
        [&] { return environment.vms[1]->node.clusterView.routeTable->configuration.version == 2; }, 2200ms));
}

TEST_CASE("Subscribers stay with a leader that misses one read where changes may take longer", "[relay]")
{
    // Guards against a fleet that reads the store and subscribes again all at once, which fills the links of
    // the leader for longer than the read was late.
    struct Row {
        Utils::Duration changeTimeout;
        bool staysSubscribed;
    };
    const Row row = GENERATE(values<Row>({ { 2500ms, false }, { 4000ms, true } }));
    INFO(Utils::toMilliseconds(row.changeTimeout));
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    for (const std::unique_ptr<Edge::Service>& vm : environment.vms) {
        vm->node.settings.operatingLimits.configurationApplyTimeout = row.changeTimeout;
        vm->node.settings.operatingLimits.drainTimeout = row.changeTimeout;
    }
    runFor(environment, 500ms);
    Edge::Node& leader = environment.vms[0]->node;
    bool staysSubscribed = true;
    for (int step = 0; step < 50; ++step) {
        leader.topicFollowers.reports.consecutiveFailures = 1;
        runFor(environment, 10ms);
        staysSubscribed = staysSubscribed && environment.vms[1]->node.relay.isSubscribed
            && environment.vms[2]->node.relay.isSubscribed;
    }
    leader.topicFollowers.reports.consecutiveFailures = 0;
    CHECK(staysSubscribed == row.staysSubscribed);
    CHECK(runUntil(environment, [&environment] {
        return environment.vms[1]->node.relay.isSubscribed && environment.vms[2]->node.relay.isSubscribed;
    }));
    // A leader that stays late is left.
    CHECK(runUntil(
        environment,
        [&] {
            leader.topicFollowers.reports.consecutiveFailures = 1;
            return !environment.vms[1]->node.relay.isSubscribed;
        },
        2000ms));
}

TEST_CASE(
    "Subscribed VMs apply a configuration soon after an outage with half-open store connections", "[relay]")
{
    // Guards against a snapshot read that hangs in the outage until a long timeout (formerly five seconds).
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    runFor(environment, 300ms);
    environment.store.faults.silent = true;
    runFor(environment, 4300ms);
    environment.store.faults.silent = false;
    publishConfiguration(environment, 2);
    const auto allHaveVersion = [&] {
        return std::all_of(
            environment.vms.begin(), environment.vms.end(), [](const std::unique_ptr<Edge::Service>& vm) {
                return vm->node.clusterView.routeTable->configuration.version == 2;
            });
    };
    CHECK(runUntil(environment, allHaveVersion, 2200ms));
}

TEST_CASE("A VM that starts with a remote store gets all records from the leader", "[relay]")
{
    // Load pattern: all VMs are killed at once; their reads of the store saturated the link between regions
    // for two seconds.
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "k-1", "keyed", true);
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    REQUIRE(runUntil(environment, [&upstream] { return !upstream.standIn.held.empty(); }));
    runFor(environment, 300ms);
    const unsigned before = environment.store.calls["/log-newest"];
    const Edge::Service& startedVm = startVm(environment, true);
    const Edge::Node& node = startedVm.node;
    CHECK(runUntil(
        environment,
        [&node] {
            return node.clusterView.routeTable && node.clusterView.directoryLoaded && node.relay.isSubscribed;
        },
        1000ms));
    CHECK(environment.store.calls["/log-newest"] == before);
    CallerRequest request;
    request.path = "/key/1";
    request.key = 5;
    CHECK(sendRequest(environment, startedVm, request).status == 200);
    // It reads the store when the leader has terminated.
    killVm(environment, 0);
    publishConfiguration(environment, 2);
    CHECK(runUntil(
        environment, [&node] { return node.clusterView.routeTable->configuration.version == 2; }, 2500ms));
}

TEST_CASE(
    "VMs with a remote store use a fallback source when the leader is disconnected from the store", "[relay]")
{
    // Load pattern: the leader is disconnected from the store, a configuration of 400 KB changes thirty
    // times, and all VMs of a region read it over the link between regions.
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    const Edge::Service& remoteVm = startVm(environment, true);
    REQUIRE(runUntil(environment, [&remoteVm] { return remoteVm.node.relay.isSubscribed; }));
    // The next heartbeat of the leader contains the addresses of the peers.
    REQUIRE(runUntil(environment, [&remoteVm] { return !remoteVm.node.relay.peers.empty(); }));
    runFor(environment, 500ms);
    const unsigned before = environment.remoteStoreAccess.calls;
    environment.vms[0]->node.settings.storeEndpoint = { "127.0.0.1", 1 };
    for (unsigned version = 2; version < 12; ++version) {
        publishConfiguration(environment, version);
        runFor(environment, 200ms);
    }
    CHECK(runUntil(
        environment,
        [&remoteVm] { return remoteVm.node.clusterView.routeTable->configuration.version == 11; }, 1500ms));
    CHECK(remoteVm.node.relay.isSubscribed);
    // The VM reads the leader topic once or twice, and none of the versions.
    CHECK(environment.remoteStoreAccess.calls - before < 4);
}

TEST_CASE("A VM can be a fallback source as soon as the leader has terminated", "[relay]")
{
    // Guards against a first read that waits 700 ms for a report, during which VMs with a remote store find
    // no source.
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    // The last read before the subscription is no longer considered fresh.
    runFor(environment, 1300ms);
    killVm(environment, 0);
    const Edge::Node& node = environment.vms[1]->node;
    REQUIRE(runUntil(environment, [&node] { return !node.relay.isSubscribed; }));
    CHECK(runUntil(
        environment, [&node] { return Edge::Internal::isRelaySource(node); }, 200ms));
}

TEST_CASE("The removal of an upstream reaches a VM that received later reports before it", "[relay]")
{
    // Guards against a missed removal: VMs that had been disconnected received later reports from a source
    // where the missing upstream was still in its grace period, never received the removal, and violated the
    // drain limit 16 to 28 times in each run.
    TestEnvironment environment;
    TestUpstream& terminated = addUpstream(environment, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    startThreeVms(environment);
    Edge::Node& subscriber = environment.vms[2]->node;
    const Edge::Internal::LinkPtr link = subscriber.relay.sourceLink;
    REQUIRE(link);
    subscriber.topicFollowers.reports.nextOffset = 1000;
    Edge::Internal::closeLink(subscriber, link, "test");
    removeUpstreamEntry(environment, terminated);
    CHECK(runUntil(
        environment,
        [&subscriber] { return subscriber.clusterView.directory.entries.at({ "i-1" }).isExpired; }, 2000ms));
}

TEST_CASE("A source does not report a removal as relayed while the grace period has not ended", "[relay]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    Edge::Node& leader = environment.vms[0]->node;
    Edge::Node& subscriber = environment.vms[1]->node;
    runFor(environment, 400ms);
    const std::optional<Utils::Offset> before = subscriber.topicFollowers.reports.nextOffset;
    leader.clusterView.directory.storeOutageGraceUntil = Utils::Instant::max();
    leader.clusterView.directory.entries.at({ "i-1" }).missingSince = Edge::now();
    leader.topicFollowers.reports.nextOffset = 1000;
    addUpstream(environment, "i-2", "plain");
    runFor(environment, 700ms);
    CHECK(subscriber.topicFollowers.reports.nextOffset == before);
}

TEST_CASE("A VM that starts again uses neither an upstream nor an assignment that is gone", "[relay]")
{
    struct Row {
        const char* name;
        bool storeIsRemote;
        bool leaderIsLost;
    };
    const Row row = GENERATE(values<Row>({
        { "from the store", false, false },
        { "from the leader", true, false },
        { "from the store, without a leader", false, true },
        { "from a fallback source", true, true },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& former = addUpstream(environment, "k-1", "keyed", true);
    addUpstream(environment, "k-2", "keyed", true);
    startThreeVms(environment);
    REQUIRE(runUntil(environment, [&] { return holdsAnyKey(*environment.vms[2], "k-1"); }));
    StandInSupport::crash(former.httpServer);
    removeUpstreamEntry(environment, former);
    REQUIRE(runUntil(
        environment,
        [&] {
            return std::none_of(environment.vms.begin(), environment.vms.end(),
                [&](const std::unique_ptr<Edge::Service>& vm) { return holdsAnyKey(*vm, "k-1"); });
        },
        9000ms));
    if (row.leaderIsLost)
        killVm(environment, 0);
    Edge::Service& started = startVm(environment, row.storeIsRemote);
    const auto usesFormer = [&] {
        const Routing::DirectoryEntry* const entry
            = Routing::findUsable(started.node.clusterView.directory, { "k-1" });
        return started.node.clusterView.directoryLoaded && (entry || holdsAnyKey(started, "k-1"));
    };
    bool hasUsedFormer = false;
    CHECK(runUntil(
        environment,
        [&] {
            hasUsedFormer = hasUsedFormer || usesFormer();
            return started.node.clusterView.directoryLoaded && holdsAnyKey(started, "k-2");
        },
        8000ms));
    CHECK_FALSE(hasUsedFormer);
}

TEST_CASE("A VM that starts from a fallback source gets the assignments that this one received as deltas",
    "[relay]")
{
    // Guards against a fallback source that relays the last complete assignment that it received, in which
    // withdrawn keys are still those of their former holder.
    TestEnvironment environment;
    TestUpstream& former = addUpstream(environment, "k-1", "keyed", true);
    addUpstream(environment, "k-2", "keyed", true);
    startThreeVms(environment);
    REQUIRE(runUntil(environment, [&] { return holdsAnyKey(*environment.vms[1], "k-1"); }));
    StandInSupport::crash(former.httpServer);
    removeUpstreamEntry(environment, former);
    REQUIRE(runUntil(
        environment, [&] { return !holdsAnyKey(*environment.vms[1], "k-1"); }, 9000ms));
    killVm(environment, 0);
    const Edge::Node& source = environment.vms[1]->node;
    REQUIRE(runUntil(environment, [&source] { return Edge::Internal::isRelaySource(source); }));
    Edge::Node& started = startVm(environment).node;
    started.settings.storeEndpoint = { "127.0.0.1", 1 };
    started.relay.peers = { source.settings.address };
    started.relay.connectToPeerNext = true;
    REQUIRE(runUntil(environment, [&started] { return !started.clusterView.assignments.empty(); }));
    CHECK(holdsAnyKey(*environment.vms[3], "k-2"));
    CHECK_FALSE(holdsAnyKey(*environment.vms[3], "k-1"));
}

TEST_CASE("A VM that starts while the store is away serves with what its neighbours know", "[relay]")
{
    // Guards against 5 to 7 s without configuration at VMs that start in an outage of the store.
    struct Row {
        const char* name;
        bool storeIsSilent;
        bool leaderIsLost;
    };
    const Row row = GENERATE(values<Row>({
        { "the store refuses, the leader lives", false, false },
        { "the store is silent, the leader lives", true, false },
        { "the store refuses, the leader is gone", false, true },
        { "the store is silent, the leader is gone", true, true },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& gone = addUpstream(environment, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    addUpstream(environment, "k-1", "keyed", true);
    startThreeVms(environment);
    removeUpstreamEntry(environment, gone);
    REQUIRE(runUntil(environment, [&] {
        return holdsAnyKey(*environment.vms[2], "k-1")
            && !Routing::findUsable(environment.vms[2]->node.clusterView.directory, { "i-1" });
    }));
    environment.store.faults.outage = !row.storeIsSilent;
    environment.store.faults.silent = row.storeIsSilent;
    runFor(environment, 3000ms);
    if (row.leaderIsLost)
        killVm(environment, 0);
    runFor(environment, 4000ms);
    Edge::Service& started = startVm(environment, false, true);
    started.node.startedAt = Edge::now();
    CHECK(runUntil(
        environment, [&] { return started.node.clusterView.directoryLoaded; }, 1500ms));
    CHECK(sendRequest(environment, started, {}).status == 200);
    CHECK(Routing::findUsable(started.node.clusterView.directory, { "i-2" }));
    CHECK_FALSE(Routing::findUsable(started.node.clusterView.directory, { "i-1" }));
    CHECK(holdsAnyKey(started, "k-1"));
    CHECK_FALSE(isLeader(started));
    // It gets changes once the store is back.
    environment.store.faults = {};
    publishConfiguration(environment, 2);
    CHECK(runUntil(
        environment, [&] { return started.node.clusterView.routeTable->configuration.version == 2; },
        4000ms));
}

TEST_CASE("The known number of VMs does not fall when the leader changes", "[relay]")
{
    // Guards against VMs that each take a larger share of a limit of the whole system.
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    const auto countAtMost = [&](std::uint32_t count) {
        return environment.vms[1]->node.relay.vmCount <= count
            || environment.vms[2]->node.relay.vmCount <= count;
    };
    REQUIRE(runUntil(
        environment, [&] { return !countAtMost(2); }, 8000ms));
    killVm(environment, 0);
    CHECK_FALSE(runUntil(
        environment, [&] { return countAtMost(2); }, 7000ms));
    CHECK((isLeader(*environment.vms[1]) || isLeader(*environment.vms[2])));
}

TEST_CASE("A VM that only names the leader says nothing about the number of VMs", "[relay]")
{
    TestEnvironment environment;
    addUpstream(environment, "i-1", "plain");
    startThreeVms(environment);
    Edge::Node& node = environment.vms[2]->node;
    node.relay.vmCount = 3;
    Relay::Update update;
    update.leader = Granting::encodeLeader(*node.leader.leadership.lastRecord);
    update.leaderTopicEnd = *node.leader.leadership.logEnd;
    Edge::Internal::handleUpdate(node, Edge::Internal::LinkPtr(node.relay.sourceLink), update);
    CHECK(node.relay.vmCount == 3);
}
