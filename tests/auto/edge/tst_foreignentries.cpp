#include "testenvironment.h"

#include <edge/clock.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t laterStartTimeMs = 1000;

bool areKeysConfirmed(const Edge::Service& vm)
{
    const auto found = vm.node.clusterView.assignments.find({ "keyed" });
    return found != vm.node.clusterView.assignments.end()
        && std::all_of(found->second.segments.begin(), found->second.segments.end(),
            [](const Granting::Segment& segment) { return segment.isConfirmed; });
}

bool isLeading(const Edge::Service& vm)
{
    return Granting::holdsLeaderLease(vm.node.leader.leadership, Edge::now());
}

/// Whether two upstreams hold a key at this moment.
bool isKeyHeldTwice(const TestEnvironment& environment)
{
    const std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();
    constexpr std::uint32_t keyStep = 256;
    for (std::uint32_t key = 0; key < 65536; key += keyStep) {
        std::size_t holders = 0;
        for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams) {
            const std::vector<StandInServer::HeldKeys>& held = upstream->standIn.held;
            holders += std::any_of(held.begin(), held.end(), [key, at](const StandInServer::HeldKeys& keys) {
                return keys.first <= key && key <= keys.last && keys.until > at;
            });
        }
        if (holders > 1)
            return true;
    }
    return false;
}

bool usesUpstream(const Edge::Service& vm, const TestUpstream& upstream)
{
    const Routing::DirectoryEntry* entry
        = Routing::findUsable(vm.node.clusterView.directory, { upstream.standIn.id });
    return entry && entry->record.endpoint.port == StandInSupport::portOf(upstream.httpServer);
}

/// Starts one VM and waits until it leads: either of two VMs that start together may.
Edge::Service& startLeader(TestEnvironment& environment)
{
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&vm] { return isLeading(vm); }));
    return vm;
}

/// Which VM grants the keys when the upstream leaves whose address the foreign entry has.
enum class Granter {
    ReaderOfEntry,
    SuccessorOfReader,
    StartedAfterEntry,
};

struct Row {
    const char* name;
    Granter granter;
};

/// Publishes a foreign entry with the address of \a upstream and returns the VM that leads afterwards.
Edge::Service& leadAfterForeignEntry(
    TestEnvironment& environment, const TestUpstream& upstream, Granter granter)
{
    Edge::Service& first = *environment.vms.front();
    if (granter == Granter::SuccessorOfReader) {
        Edge::Service& second = startVm(environment);
        REQUIRE(runUntil(
            environment, [&] { return areKeysConfirmed(second) && second.node.relay.isSubscribed; }));
    }
    publishForeignEntry(environment, "inventory-1", addressOf(upstream), laterStartTimeMs);
    runFor(environment, 400ms);
    if (granter == Granter::ReaderOfEntry)
        return first;
    if (granter == Granter::StartedAfterEntry) {
        Edge::Service& second = startVm(environment);
        REQUIRE(runUntil(environment, [&] { return second.node.relay.isSubscribed; }));
    }
    killVm(environment, 0);
    Edge::Service& second = *environment.vms.back();
    REQUIRE(runUntil(
        environment, [&] { return isLeading(second) && second.node.leader.hasWrittenInTerm; }, 8000ms));
    return second;
}

} // namespace

TEST_CASE("A foreign entry at the address of an upstream does not end its holds", "[foreignentries]")
{
    // Guards against keys that two upstreams hold: an entry of another writer counted as a successor.
    const Row row = GENERATE(values<Row>({
        { "granted by the VM that read the entry", Granter::ReaderOfEntry },
        { "granted by its successor", Granter::SuccessorOfReader },
        { "granted by a VM that started after it", Granter::StartedAfterEntry },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& leaving = addUpstream(environment, "k-1", "keyed", true);
    for (const char* id : { "k-2", "k-3" })
        addUpstream(environment, id, "keyed", true);
    Edge::Service& first = startLeader(environment);
    REQUIRE(runUntil(environment, [&first] { return areKeysConfirmed(first); }));
    Edge::Service& granting = leadAfterForeignEntry(environment, leaving, row.granter);
    CHECK_FALSE(granting.node.clusterView.directory.entries.at({ "k-1" }).isTerminated);
    CHECK(usesUpstream(granting, leaving));
    publishUpstreamEntry(environment, leaving, "draining");
    const bool isHeldTwice = runUntil(
        environment, [&environment] { return isKeyHeldTwice(environment); }, 2500ms);
    CHECK_FALSE(isHeldTwice);
    CHECK(leaving.standIn.releases > 0);
}

TEST_CASE("A foreign entry under the id of an upstream does not hide it", "[foreignentries]")
{
    // Guards against a service without upstreams: later entries of the upstream itself looked older.
    TestEnvironment environment;
    TestUpstream& hidden = addUpstream(environment, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    Edge::Service& first = startLeader(environment);
    REQUIRE(usesUpstream(first, hidden));
    SECTION("at a VM that runs, before and after the next entry of the upstream")
    {
        publishForeignEntry(environment, "i-1", "127.0.0.1:9", laterStartTimeMs);
        runFor(environment, 400ms);
        CHECK(usesUpstream(first, hidden));
        publishUpstreamEntry(environment, hidden);
        runFor(environment, 400ms);
        CHECK(usesUpstream(first, hidden));
        publishUpstreamEntry(environment, hidden, "draining");
        CHECK(runUntil(
            environment, [&] { return !usesUpstream(first, hidden); }, 1000ms));
    }
    SECTION("at a VM that starts, from its source or by the next entry")
    {
        // The last change of the upstream is far behind the end of the topic.
        for (unsigned entry = 0; entry < 3000; ++entry)
            publishUpstreamEntry(environment, hidden);
        publishForeignEntry(environment, "i-1", "127.0.0.1:9", laterStartTimeMs);
        Edge::Service& second = startVm(environment, false, true);
        const bool isFound = runUntil(
            environment, [&] { return usesUpstream(second, hidden); }, 2000ms);
        if (!second.node.relay.isSubscribed)
            publishUpstreamEntry(environment, hidden);
        CHECK((isFound
            || runUntil(
                environment, [&] { return usesUpstream(second, hidden); }, 1000ms)));
        REQUIRE(runUntil(environment, [&second] { return second.node.relay.isSubscribed; }));
        CHECK(usesUpstream(second, hidden));
    }
}

TEST_CASE("The entries of a service count once a configuration names it", "[foreignentries]")
{
    TestEnvironment environment;
    TestUpstream& early = addUpstream(environment, "l-1", "later");
    TestUpstream& gone = addUpstream(environment, "l-2", "later");
    Edge::Service& first = startLeader(environment);
    Edge::Service& second = startVm(environment, false, true);
    REQUIRE(runUntil(environment, [&second] { return second.node.relay.isSubscribed; }));
    CHECK_FALSE(usesUpstream(first, early));
    TestUpstream& late = addUpstream(environment, "l-3", "later");
    removeUpstreamEntry(environment, gone);
    CallerRequest request;
    request.path = "/later/1";
    runFor(environment, 400ms);
    environment.extraServices = { "later" };
    publishConfiguration(environment, 2);
    for (const Edge::Service* vm : { &first, &second }) {
        CHECK(runUntil(
            environment, [&] { return usesUpstream(*vm, early) && usesUpstream(*vm, late); }, 2500ms));
        CHECK_FALSE(usesUpstream(*vm, gone));
        CHECK(sendRequest(environment, *vm, request).status == 200);
    }
    // What is known of a service stays when a configuration no longer names it.
    environment.extraServices.clear();
    publishConfiguration(environment, 3);
    REQUIRE(runUntil(
        environment, [&] { return second.node.clusterView.routeTable->configuration.version == 3; }, 2500ms));
    publishUpstreamEntry(environment, early, "draining");
    CHECK(runUntil(
        environment, [&] { return !usesUpstream(first, early) && !usesUpstream(second, early); }, 2000ms));
}
