#include <ownershipbench/simulation.h>

#include <catch2/catch.hpp>

#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

namespace {

using OwnershipBench::Fault;
using OwnershipBench::FaultKind;
using std::chrono::milliseconds;

/// Maximum time until a shard is served again after a failure.
constexpr std::int64_t orphanedLimitMs = 2000;
constexpr milliseconds faultStart { 1500 };
constexpr milliseconds longTime { 60000 };

struct Row {
    std::string name;
    std::vector<Fault> faults;
    /// Whether the shard is served again while the faults last.
    bool served = true;
};

Fault terminate(const std::string& process) { return { FaultKind::Terminate, process, faultStart, {} }; }

Fault temporaryFault(FaultKind kind, const std::string& process, milliseconds duration)
{
    return { kind, process, faultStart, duration };
}

const Fault logDown { FaultKind::LogDown, {}, milliseconds(500), longTime };

const std::vector<Row>& singleFaults()
{
    static const std::vector<Row> rows {
        { "owner lost", { terminate("A") } },
        { "standby lost", { terminate("B") } },
        { "dispatcher lost", { terminate("d1") } },
        { "successor lost", { terminate("d2") } },
        { "owner lost, log down", { terminate("A"), logDown } },
        { "standby lost, log down", { terminate("B"), logDown } },
        { "dispatcher lost, log down", { terminate("d1"), logDown } },
        { "successor lost, log down", { terminate("d2"), logDown } },
        { "owner frozen for 1 s", { temporaryFault(FaultKind::Freeze, "A", milliseconds(1000)) } },
        { "owner frozen beyond its lease, log down",
            { temporaryFault(FaultKind::Freeze, "A", milliseconds(700)), logDown } },
        { "dispatcher paused for 1 s", { temporaryFault(FaultKind::Freeze, "d1", milliseconds(1000)) } },
        { "dispatcher paused for 1 s, log down",
            { temporaryFault(FaultKind::Freeze, "d1", milliseconds(1000)), logDown } },
        { "successor paused for 1 s, log down",
            { temporaryFault(FaultKind::Freeze, "d2", milliseconds(1000)), logDown } },
        { "owner isolated for 1 s", { temporaryFault(FaultKind::Isolate, "A", milliseconds(1000)) } },
        { "dispatcher isolated for 1 s", { temporaryFault(FaultKind::Isolate, "d1", milliseconds(1000)) } },
        { "dispatcher isolated, log down", { temporaryFault(FaultKind::Isolate, "d1", longTime), logDown } },
        { "owner isolated, log down", { temporaryFault(FaultKind::Isolate, "A", longTime), logDown } },
        { "owner restarted", { temporaryFault(FaultKind::Restart, "A", {}) } },
        { "owner restarted, log down", { temporaryFault(FaultKind::Restart, "A", {}), logDown } },
        { "dispatcher restarted", { temporaryFault(FaultKind::Restart, "d1", {}) } },
        { "dispatcher restarted, log down", { temporaryFault(FaultKind::Restart, "d1", {}), logDown } },
        { "dispatcher hands over", { temporaryFault(FaultKind::HandOver, "d1", {}) } },
        { "log down", { logDown } },
    };
    return rows;
}

const std::vector<Row>& jointFailures()
{
    static const std::vector<Row> rows {
        { "owner and dispatcher", { terminate("A"), terminate("d1") } },
        { "standby and dispatcher", { terminate("B"), terminate("d1") } },
        { "owner and successor", { terminate("A"), terminate("d2") } },
        { "standby and successor", { terminate("B"), terminate("d2") } },
        { "owner and standby", { terminate("A"), terminate("B") } },
        { "dispatcher and successor", { terminate("d1"), terminate("d2") } },
        { "owner and dispatcher, log down", { terminate("A"), terminate("d1"), logDown }, false },
        { "standby and dispatcher, log down", { terminate("B"), terminate("d1"), logDown }, false },
        { "owner and successor, log down", { terminate("A"), terminate("d2"), logDown }, false },
        { "standby and successor, log down", { terminate("B"), terminate("d2"), logDown }, false },
        { "owner and standby, log down", { terminate("A"), terminate("B"), logDown }, false },
        { "dispatcher and successor, log down", { terminate("d1"), terminate("d2"), logDown }, false },
    };
    return rows;
}

OwnershipBench::SimulationResult simulate(const std::vector<Fault>& faults, std::uint64_t seed)
{
    OwnershipBench::SimulationSettings settings;
    settings.seed = seed;
    settings.faults = faults;
    return OwnershipBench::runSimulation(settings);
}

/// The longest time over several seeds in which the shard is not served. Checks that there are never two
/// owners.
std::int64_t findMaxOrphanedMs(const Row& row)
{
    std::int64_t longest = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const OwnershipBench::SimulationResult result = simulate(row.faults, seed);
        CHECK(result.doubleOwners == 0);
        CHECK(result.servedBy.empty() != row.served);
        longest = std::max(longest, result.maxOrphanedMs);
    }
    std::cout << row.name << ": orphaned for at most " << longest << " ms\n";
    return longest;
}

} // namespace

TEST_CASE("a shard is served again in time after a single fault", "[failover]")
{
    for (const Row& row : singleFaults()) {
        INFO(row.name);
        CHECK(findMaxOrphanedMs(row) <= orphanedLimitMs);
    }
}

TEST_CASE("a shard is served again in time after two joint failures while the log is up", "[failover]")
{
    for (const Row& row : jointFailures()) {
        INFO(row.name);
        const std::int64_t longest = findMaxOrphanedMs(row);
        if (row.served)
            CHECK(longest <= orphanedLimitMs);
    }
}

TEST_CASE("a shard returns to a recovered owner when its standby fails later", "[failover]")
{
    const std::vector<Fault> faults { temporaryFault(FaultKind::Freeze, "A", milliseconds(1000)),
        { FaultKind::Terminate, "B", milliseconds(4000), {} }, logDown };
    const OwnershipBench::SimulationResult result = simulate(faults, 3);
    CHECK(result.servedBy == "A");
    CHECK(result.moves == 2);
    CHECK(result.maxOrphanedMs <= orphanedLimitMs);
    CHECK(result.doubleOwners == 0);
}

TEST_CASE("no pair of faults leads to two owners", "[failover]")
{
    for (const Row& first : singleFaults()) {
        for (const Row& second : singleFaults()) {
            INFO(first.name << " + " << second.name);
            std::vector<Fault> faults = first.faults;
            for (Fault fault : second.faults) {
                fault.startsAfter += milliseconds(300);
                faults.push_back(fault);
            }
            CHECK(simulate(faults, 7).doubleOwners == 0);
        }
    }
}
