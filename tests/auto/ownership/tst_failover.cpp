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

/// Time within which a shard is served again after a loss.
constexpr std::int64_t boundMs = 2000;
constexpr milliseconds strikeAt { 1500 };
constexpr milliseconds longTime { 60000 };

struct Row {
    std::string name;
    std::vector<Fault> faults;
    /// Whether the shard is served again while the faults last.
    bool served = true;
};

Fault lose(const std::string& process) { return { FaultKind::Terminate, process, strikeAt, {} }; }

Fault passing(FaultKind kind, const std::string& process, milliseconds lasts)
{
    return { kind, process, strikeAt, lasts };
}

const Fault logDown { FaultKind::LogDown, {}, milliseconds(500), longTime };

const std::vector<Row>& singleFaults()
{
    static const std::vector<Row> rows {
        { "owner lost", { lose("A") } },
        { "standby lost", { lose("B") } },
        { "dispatcher lost", { lose("d1") } },
        { "successor lost", { lose("d2") } },
        { "owner lost, log down", { lose("A"), logDown } },
        { "standby lost, log down", { lose("B"), logDown } },
        { "dispatcher lost, log down", { lose("d1"), logDown } },
        { "successor lost, log down", { lose("d2"), logDown } },
        { "owner frozen for 1 s", { passing(FaultKind::Freeze, "A", milliseconds(1000)) } },
        { "owner frozen beyond its lease, log down",
            { passing(FaultKind::Freeze, "A", milliseconds(700)), logDown } },
        { "dispatcher paused for 1 s", { passing(FaultKind::Freeze, "d1", milliseconds(1000)) } },
        { "dispatcher paused for 1 s, log down",
            { passing(FaultKind::Freeze, "d1", milliseconds(1000)), logDown } },
        { "successor paused for 1 s, log down",
            { passing(FaultKind::Freeze, "d2", milliseconds(1000)), logDown } },
        { "owner isolated for 1 s", { passing(FaultKind::Isolate, "A", milliseconds(1000)) } },
        { "dispatcher isolated for 1 s", { passing(FaultKind::Isolate, "d1", milliseconds(1000)) } },
        { "dispatcher isolated, log down", { passing(FaultKind::Isolate, "d1", longTime), logDown } },
        { "owner isolated, log down", { passing(FaultKind::Isolate, "A", longTime), logDown } },
        { "owner restarted", { passing(FaultKind::Restart, "A", {}) } },
        { "owner restarted, log down", { passing(FaultKind::Restart, "A", {}), logDown } },
        { "dispatcher restarted", { passing(FaultKind::Restart, "d1", {}) } },
        { "dispatcher restarted, log down", { passing(FaultKind::Restart, "d1", {}), logDown } },
        { "dispatcher hands over", { passing(FaultKind::HandOver, "d1", {}) } },
        { "log down", { logDown } },
    };
    return rows;
}

const std::vector<Row>& jointLosses()
{
    static const std::vector<Row> rows {
        { "owner and dispatcher", { lose("A"), lose("d1") } },
        { "standby and dispatcher", { lose("B"), lose("d1") } },
        { "owner and successor", { lose("A"), lose("d2") } },
        { "standby and successor", { lose("B"), lose("d2") } },
        { "owner and standby", { lose("A"), lose("B") } },
        { "dispatcher and successor", { lose("d1"), lose("d2") } },
        { "owner and dispatcher, log down", { lose("A"), lose("d1"), logDown }, false },
        { "standby and dispatcher, log down", { lose("B"), lose("d1"), logDown }, false },
        { "owner and successor, log down", { lose("A"), lose("d2"), logDown }, false },
        { "standby and successor, log down", { lose("B"), lose("d2"), logDown }, false },
        { "owner and standby, log down", { lose("A"), lose("B"), logDown }, false },
        { "dispatcher and successor, log down", { lose("d1"), lose("d2"), logDown }, false },
    };
    return rows;
}

OwnershipBench::SimulationResult play(const std::vector<Fault>& faults, std::uint64_t seed)
{
    OwnershipBench::SimulationSettings settings;
    settings.seed = seed;
    settings.faults = faults;
    return OwnershipBench::runSimulation(settings);
}

/// The longest orphaned time over some seeds; two owners are never seen.
std::int64_t longestOf(const Row& row)
{
    std::int64_t longest = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const OwnershipBench::SimulationResult result = play(row.faults, seed);
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
        CHECK(longestOf(row) <= boundMs);
    }
}

TEST_CASE("two joint losses are served again in time while the log is up", "[failover]")
{
    for (const Row& row : jointLosses()) {
        INFO(row.name);
        const std::int64_t longest = longestOf(row);
        if (row.served)
            CHECK(longest <= boundMs);
    }
}

TEST_CASE("a shard goes back to an owner that has returned when its standby is lost later", "[failover]")
{
    const std::vector<Fault> faults { passing(FaultKind::Freeze, "A", milliseconds(1000)),
        { FaultKind::Terminate, "B", milliseconds(4000), {} }, logDown };
    const OwnershipBench::SimulationResult result = play(faults, 3);
    CHECK(result.servedBy == "A");
    CHECK(result.moves == 2);
    CHECK(result.maxOrphanedMs <= boundMs);
    CHECK(result.doubleOwners == 0);
}

TEST_CASE("no pair of faults makes two owners", "[failover]")
{
    for (const Row& first : singleFaults()) {
        for (const Row& second : singleFaults()) {
            INFO(first.name << " + " << second.name);
            std::vector<Fault> faults = first.faults;
            for (Fault fault : second.faults) {
                fault.startsAfter += milliseconds(300);
                faults.push_back(fault);
            }
            CHECK(play(faults, 7).doubleOwners == 0);
        }
    }
}
