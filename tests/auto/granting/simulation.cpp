#include "simulation.h"

#include <algorithm>
#include <utility>

namespace GrantTest {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t traceLength = 40;

} // namespace

void addToTrace(Simulation& simulation, const std::string& text)
{
    simulation.trace.push_back(
        std::to_string(simulation.now.time_since_epoch() / 1ms - 1000000) + " " + text);
    if (simulation.trace.size() > traceLength)
        simulation.trace.erase(simulation.trace.begin());
}

bool happens(Simulation& simulation, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(simulation.random) < probability;
}

Utils::Duration randomDuration(Simulation& simulation, Utils::Duration min, Utils::Duration max)
{
    return Utils::Duration(
        std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(simulation.random));
}

void schedule(Simulation& simulation, Utils::Duration delay, std::function<void()> run)
{
    simulation.events.push_back({ simulation.now + delay, std::move(run) });
}

namespace {

void runOnVm(Simulation& simulation, unsigned vm, unsigned restarts, const std::function<void()>& run)
{
    const SimulatedVm& state = simulation.vms[vm];
    if (state.restarts != restarts)
        return;
    if (!simulation.conditions.storeReturns || state.pausedUntil <= simulation.now) {
        run();
        return;
    }
    schedule(simulation, state.pausedUntil - simulation.now,
        [&simulation, vm, restarts, run] { runOnVm(simulation, vm, restarts, run); });
}

} // namespace

void scheduleOnVm(Simulation& simulation, unsigned vm, Utils::Duration delay, std::function<void()> run)
{
    schedule(
        simulation, delay, [&simulation, vm, restarts = simulation.vms[vm].restarts, run = std::move(run)] {
            runOnVm(simulation, vm, restarts, run);
        });
}

Utils::UpstreamId upstreamId(unsigned upstream) { return { std::to_string(upstream) }; }

unsigned upstreamIndex(const Utils::UpstreamId& id) { return static_cast<unsigned>(std::stoul(id.value)); }

void runDueEvents(Simulation& simulation)
{
    // An event may add further events, so that the next one is searched after each.
    while (true) {
        const auto first = std::min_element(simulation.events.begin(), simulation.events.end(),
            [](const SimulatedEvent& one, const SimulatedEvent& other) { return one.at < other.at; });
        if (first == simulation.events.end() || first->at > simulation.now)
            return;
        const std::function<void()> run = std::move(first->run);
        simulation.events.erase(first);
        run();
    }
}

} // namespace GrantTest
