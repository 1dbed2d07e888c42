#pragma once

#include "event.h"
#include "fakeupstream.h"
#include "firstcome.h"
#include "perentry.h"
#include "pool.h"
#include "request.h"
#include "scenario.h"
#include "sentwork.h"
#include "servicereport.h"

#include <dispatch/dispatchstate.h>
#include <requests/retrystate.h>
#include <utils/time.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>
#include <variant>

namespace Measure {

inline constexpr Utils::Instant simulationBegin { std::chrono::seconds(1000) };
/// What arrives before is not measured.
inline constexpr Utils::Instant measureFrom = simulationBegin + std::chrono::seconds(5);
inline constexpr Utils::Instant measureUntil = simulationBegin + std::chrono::seconds(25);

/// What stands between the callers and the upstreams.
using Router = std::variant<Dispatch::DispatchState, FirstCome, PerEntry>;

/// One run.
struct SimulationState {
    Scenario scenario;
    Dispatch::DispatchOptions options = poolOptions();
    Router router;
    std::mt19937_64 random;
    std::array<FakeUpstream, upstreamCount> upstreams;
    /// Retry budgets of the entry VMs.
    std::array<Requests::RetryState, entryCount> retries;
    std::unordered_map<std::uint64_t, Request> requests;
    std::unordered_map<Requests::WorkId, SentWork> started;
    std::priority_queue<Event> events;
    std::uint64_t sequence = 0;
    std::uint64_t nextRequest = 1;
    Utils::Instant now = simulationBegin;
    Utils::Instant tickAt = Utils::Instant::max();
    ServiceReport report;
};

/// Lets \a run happen at \a time.
void at(SimulationState& sim, Utils::Instant time, std::function<void()> run);

/// Whether what becomes of the request is counted.
bool isMeasured(const Request& request);

/// The report of the request's rank.
RankReport& rankReport(SimulationState& sim, const Request& request);

/// The part of the time since \a from that is measured.
Utils::Duration measuredSince(const SimulationState& sim, Utils::Instant from);

/// The work id of an attempt, and the request that a work id belongs to.
Requests::WorkId workIdOf(std::uint64_t request, unsigned attempt);
std::uint64_t requestOf(Requests::WorkId id);

} // namespace Measure
