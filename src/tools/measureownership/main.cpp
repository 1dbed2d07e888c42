#include <ownershipbench/simulation.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// Measures how long a shard is not served after each kind of process failure, for several timings and for a
/// baseline that changes owners through the log only. Usage: measureownership [runs] [seed]. Prints one JSON
/// line for each combination.
namespace {

using OwnershipBench::Fault;
using OwnershipBench::FaultKind;

struct Timing {
    std::string_view name;
    int leaseMs = 0;
    int renewMs = 0;
    int proofMs = 0;
    int suspectMs = 0;
    bool standbys = true;
};

struct Failure {
    std::string_view name;
    std::vector<std::string> processes;
    bool logDown = false;
};

constexpr std::array<Timing, 4> timings { {
    { "default", 600, 150, 400, 450, true },
    { "short", 300, 75, 200, 225, true },
    { "long", 1200, 300, 800, 900, true },
    { "log_only", 600, 150, 400, 450, false },
} };

const std::vector<Failure>& failures()
{
    static const std::vector<Failure> rows { { "A", { "A" }, false }, { "B", { "B" }, false },
        { "d1", { "d1" }, false }, { "d2", { "d2" }, false }, { "A+d1", { "A", "d1" }, false },
        { "B+d1", { "B", "d1" }, false }, { "A log down", { "A" }, true }, { "d1 log down", { "d1" }, true },
        { "A+d1 log down", { "A", "d1" }, true } };
    return rows;
}

constexpr Utils::Duration outage = std::chrono::seconds(8);

OwnershipBench::SimulationSettings makeSettings(
    const Timing& timing, const Failure& failure, std::uint64_t seed)
{
    OwnershipBench::SimulationSettings settings;
    settings.seed = seed;
    settings.lease.lease = std::chrono::milliseconds(timing.leaseMs);
    settings.lease.renewEvery = std::chrono::milliseconds(timing.renewMs);
    settings.lease.proofWindow = std::chrono::milliseconds(timing.proofMs);
    settings.lease.suspectAfter = std::chrono::milliseconds(timing.suspectMs);
    settings.hasStandbys = timing.standbys;
    settings.duration = std::chrono::seconds(12);
    std::mt19937_64 random(seed);
    const Utils::Duration at
        = std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(1000, 2000)(random));
    for (const std::string& process : failure.processes)
        settings.faults.push_back({ FaultKind::Terminate, process, at, {} });
    if (failure.logDown)
        settings.faults.push_back({ FaultKind::LogDown, {}, std::chrono::milliseconds(500), outage });
    return settings;
}

void measure(const Timing& timing, const Failure& failure, std::uint64_t runs, std::uint64_t seed)
{
    std::vector<std::int64_t> orphaned;
    std::int64_t moves = 0;
    std::int64_t doubleOwners = 0;
    for (std::uint64_t run = 0; run < runs; ++run) {
        const OwnershipBench::SimulationResult result
            = OwnershipBench::runSimulation(makeSettings(timing, failure, seed + run));
        orphaned.push_back(result.orphanedMs);
        moves += result.moves;
        doubleOwners += result.doubleOwners;
    }
    std::sort(orphaned.begin(), orphaned.end());
    std::cout << "{\"timing\":\"" << timing.name << "\",\"loss\":\"" << failure.name << "\",\"runs\":" << runs
              << ",\"seed\":" << seed << ",\"orphaned_ms_p50\":" << orphaned[orphaned.size() / 2]
              << ",\"orphaned_ms_p99\":" << orphaned[orphaned.size() * 99 / 100]
              << ",\"orphaned_ms_max\":" << orphaned.back() << ",\"moves\":" << moves
              << ",\"double_owners\":" << doubleOwners << "}" << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t runs = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200;
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    for (const Timing& timing : timings) {
        for (const Failure& failure : failures())
            measure(timing, failure, std::max<std::uint64_t>(runs, 1), seed);
    }
    return 0;
}
