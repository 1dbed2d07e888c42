#include "simulationstate.h"

#include <algorithm>
#include <utility>

namespace Measure {

namespace {

constexpr std::uint64_t attemptStep = 1ULL << 40U;

} // namespace

void at(SimulationState& sim, Utils::Instant time, std::function<void()> run)
{
    sim.events.push(Event { time, sim.sequence++, std::move(run) });
}

bool isMeasured(const Request& request) { return request.arrived >= measureFrom; }

RankReport& rankReport(SimulationState& sim, const Request& request)
{
    return sim.report.ranks[request.work.rank];
}

Utils::Duration measuredSince(const SimulationState& sim, Utils::Instant from)
{
    const Utils::Instant since = std::max(from, measureFrom);
    const Utils::Instant until = std::min(sim.now, measureUntil);
    return std::max(until - since, Utils::Duration(0));
}

Requests::WorkId workIdOf(std::uint64_t request, unsigned attempt)
{
    return { request + attempt * attemptStep };
}

std::uint64_t requestOf(Requests::WorkId id) { return id.value % attemptStep; }

} // namespace Measure
