#pragma once

#include "conditions.h"
#include "guards.h"
#include "outcome.h"
#include "simulatedevent.h"
#include "simulatedupstream.h"
#include "simulatedvm.h"

#include <granting/keyassignment.h>
#include <granting/leaderrecord.h>

#include <map>
#include <random>
#include <vector>

namespace GrantTest {

inline constexpr unsigned vmCount = 2;
inline constexpr unsigned upstreamCount = 3;
inline constexpr Utils::Duration tickInterval = std::chrono::milliseconds(20);
inline constexpr Utils::Duration maxKeyLease = std::chrono::seconds(10);

/// The state of one run.
struct Simulation {
    Simulation(std::uint64_t seed, const Guards& guards, const Conditions& conditions)
        : random(seed)
        , guards(guards)
        , conditions(conditions)
        , vms(vmCount)
        , upstreams(upstreamCount)
    {
    }

    std::mt19937_64 random;
    Guards guards;
    Conditions conditions;
    Utils::Instant now { std::chrono::seconds(1000) };
    std::vector<SimulatedEvent> events;
    std::vector<SimulatedVm> vms;
    std::vector<SimulatedUpstream> upstreams;
    std::vector<Granting::LeaderRecord> leaders;
    std::vector<Granting::KeyAssignment> records;
    bool isStoreDown = false;
    std::uint64_t storeEra = 0;
    bool isReturnPlanned = false;
    /// Frames between the VMs are held back until then.
    Utils::Instant linkSilentUntil {};
    unsigned linksOpened = 0;
    unsigned restarts = 0;
    std::map<std::uint16_t, std::uint64_t> highestTokens;
    std::map<std::uint16_t, unsigned> highestTokenHolders;
    Outcome outcome;
    /// The last events, for the report of a fault.
    std::vector<std::string> trace;
};

/// Adds a line to the trace, which a fault reports.
void addToTrace(Simulation& simulation, const std::string& text);

/// Draws whether something of \a probability happens.
bool happens(Simulation& simulation, double probability);

Utils::Duration randomDuration(Simulation& simulation, Utils::Duration min, Utils::Duration max);

void schedule(Simulation& simulation, Utils::Duration delay, std::function<void()> run);

/// Schedules \a run in the process of \a vm: not if it has restarted by then, and after a pause.
void scheduleOnVm(Simulation& simulation, unsigned vm, Utils::Duration delay, std::function<void()> run);

/// Runs the events that are due, in the order of their times.
void runDueEvents(Simulation& simulation);

Utils::UpstreamId upstreamId(unsigned upstream);

unsigned upstreamIndex(const Utils::UpstreamId& id);

} // namespace GrantTest
