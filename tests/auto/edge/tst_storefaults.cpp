#include "edgeworld.h"

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

std::uint64_t versionOf(const Edge::Service& vm)
{
    return vm.node.beliefs.table ? vm.node.beliefs.table->configuration.version : 0;
}

} // namespace

TEST_CASE("Requests are served while the store is away", "[storefaults]")
{
    World world;
    addServer(world, "i-1", "plain");
    Edge::Service& vm = startReady(world);
    world.store.faults.outage = GENERATE(true, false);
    world.store.faults.silent = !world.store.faults.outage;
    for (int request = 0; request < 5; ++request) {
        CHECK(ask(world, vm, {}).status == 200);
        runFor(world, 100ms);
    }
}

TEST_CASE("A configuration is in force soon after the store is back", "[storefaults]")
{
    // kuoo-brama hunt-b683-3: the read begun in a silent outage of 16 s hung in it for 21 s.
    struct Row {
        const char* name;
        bool silent;
        std::chrono::milliseconds away;
    };
    const Row row = GENERATE(values<Row>({
        { "refusing", false, 2500ms },
        { "silent", true, 2500ms },
    }));
    INFO(row.name);
    World world;
    addServer(world, "i-1", "plain");
    Edge::Service& vm = startReady(world);
    world.store.faults.outage = !row.silent;
    world.store.faults.silent = row.silent;
    runFor(world, row.away);
    world.store.faults = {};
    publish(world, 2);
    CHECK(runUntil(
        world, [&vm] { return versionOf(vm) == 2; }, 2500ms));
}

TEST_CASE("A read that hears nothing does not keep a configuration from coming into force", "[storefaults]")
{
    // ppklj-gerbang trouble-1: reads begun before the store turned VMs away heard nothing of a version for
    // four seconds.
    World world;
    addServer(world, "i-1", "plain");
    Edge::Service& vm = startReady(world);
    runFor(world, 100ms);
    world.store.faults.deaf = true;
    publish(world, 2);
    CHECK(runUntil(
        world, [&vm] { return versionOf(vm) == 2; }, 1500ms));
}

TEST_CASE("After records were dropped the newest of each key is read", "[storefaults]")
{
    World world;
    Server& server = addServer(world, "i-1", "plain");
    Edge::Service& vm = startReady(world);
    world.store.faults.deaf = true;
    publish(world, 2);
    publish(world, 3);
    report(world, server, "draining");
    StandInStore::compact(world.store, "keyed.op");
    StandInStore::compact(world.store, "keyed.servers");
    world.store.faults.deaf = false;
    CHECK(runUntil(
        world, [&vm] { return versionOf(vm) == 3; }, 2500ms));
    CHECK(runUntil(
        world, [&vm] { return !Routing::findUsable(vm.node.beliefs.directory, { "i-1" }); }, 2500ms));
}

TEST_CASE("Foreign and older records change nothing", "[storefaults]")
{
    World world;
    addServer(world, "i-1", "plain");
    Edge::Service& vm = startReady(world);
    publish(world, 5);
    StandInStore::putRecord(world.store, "keyed.op", "config", "{\"version\":\"r9\"}");
    publish(world, 4);
    StandInStore::putRecord(world.store, "keyed.servers", "i-9", "\xff\xfe");
    StandInStore::putRecord(world.store, "keyed.servers", "i-1", "{\"address\":7}");
    REQUIRE(runUntil(world, [&vm] { return versionOf(vm) == 5; }));
    runFor(world, 300ms);
    CHECK(versionOf(vm) == 5);
    CHECK(ask(world, vm, {}).status == 200);
}

TEST_CASE("Entries that lapse in an outage are used until they are back", "[storefaults]")
{
    World world;
    Server& server = addServer(world, "i-1", "plain");
    Edge::Service& vm = startReady(world);
    world.store.faults.outage = true;
    runFor(world, 1500ms);
    unregister(world, server);
    world.store.faults.outage = false;
    runFor(world, 800ms);
    CHECK(ask(world, vm, {}).status == 200);
    report(world, server);
    runFor(world, 2500ms);
    CHECK(ask(world, vm, {}).status == 200);
    unregister(world, server);
    CHECK(runUntil(
        world, [&vm] { return !Routing::findUsable(vm.node.beliefs.directory, { "i-1" }); }, 1000ms));
}

TEST_CASE("Lost answers to appends keep no keys from being granted", "[storefaults]")
{
    World world;
    Server& server = addServer(world, "k-1", "keyed", true);
    world.store.faults.loseAppendAnswers = 3;
    startReady(world);
    CHECK(runUntil(
        world, [&server] { return !server.state.held.empty(); }, 8000ms));
}
