#include "simulation.h"

#include "entrymodel.h"
#include "simulationstate.h"

#include <dispatch/dispatcher.h>
#include <requests/retry.h>

#include <utility>

namespace Measure {

namespace {

/// Half of the mean, and an exponential part with the other half as its mean.
Utils::Duration drawAround(SimulationState& sim, Utils::Duration mean)
{
    const double half = static_cast<double>(mean.count()) / 2;
    const double random = std::exponential_distribution<double>(1 / half)(sim.random);
    return Utils::Duration(static_cast<std::int64_t>(half + random));
}

Request newRequest(SimulationState& sim, const RankLoad& load, std::uint64_t number)
{
    Request request;
    request.load = load;
    request.entry = static_cast<unsigned>(sim.random() % entryCount);
    request.arrived = sim.now;
    request.service = drawAround(sim, load.service);
    request.work.service = { "stock" };
    request.work.shard = shardName(static_cast<unsigned>(sim.random() % upstreamCount));
    request.work.rank = load.rank;
    request.work.caller = "caller-" + std::to_string(sim.random() % load.callers);
    request.work.deadline = sim.now + sim.options.ranks.at(load.rank).defaultTimeout;
    request.work.idempotent = load.idempotent;
    request.work.contentDigest = number;
    if (!load.idempotent)
        request.work.requestId = { std::to_string(number) };
    return request;
}

void arrive(SimulationState& sim, const RankLoad& load)
{
    if (sim.now >= measureUntil)
        return;
    const std::uint64_t number = sim.nextRequest++;
    const Request& request = sim.requests.emplace(number, newRequest(sim, load, number)).first->second;
    if (isMeasured(request))
        ++rankReport(sim, request).offered;
    Requests::noteFirstAttempt(sim.retries.at(request.entry), load.rank, sim.now);
    sendToDispatcher(sim, number);
    const Utils::Duration taken = load.service + 2 * hop;
    const double perSecond
        = load.load * upstreamCount * slotCount / std::chrono::duration<double>(taken).count();
    const double gap = std::exponential_distribution<double>(perSecond)(sim.random);
    const Utils::Duration wait
        = std::chrono::duration_cast<Utils::Duration>(std::chrono::duration<double>(gap));
    at(sim, sim.now + wait, [&sim, load] { arrive(sim, load); });
}

/// The first upstream starts anew when measuring begins.
void restartCold(SimulationState& sim)
{
    sim.upstreams.at(0).completed = 0;
    if (Dispatch::DispatchState* state = std::get_if<Dispatch::DispatchState>(&sim.router))
        perform(sim,
            Dispatch::setUpstreamCondition(
                *state, upstreamName(0), Dispatch::UpstreamCondition::Cold, sim.now));
}

void prepare(SimulationState& sim, Routing routing)
{
    sim.upstreams.at(0).fault = sim.scenario.fault;
    if (routing == Routing::FirstCome)
        sim.router = FirstCome {};
    if (routing == Routing::PerEntry)
        sim.router = PerEntry {};
    if (routing != Routing::Dispatcher)
        return;
    Dispatch::DispatchState state;
    Dispatch::configure(state, sim.options, simulationBegin);
    for (unsigned number = 0; number < upstreamCount; ++number)
        Dispatch::placeShard(state, shardName(number), upstreamName(number), simulationBegin);
    sim.router = std::move(state);
}

} // namespace

ServiceReport simulate(const Scenario& scenario, Routing routing, std::uint64_t seed)
{
    SimulationState sim;
    sim.scenario = scenario;
    sim.random.seed(seed);
    sim.report.slotTime = (measureUntil - measureFrom) * upstreamCount * slotCount;
    prepare(sim, routing);
    if (scenario.fault == UpstreamFault::Cold)
        at(sim, measureFrom, [&sim] { restartCold(sim); });
    for (const RankLoad& load : scenario.loads)
        arrive(sim, load);
    while (!sim.events.empty()) {
        const Event event = sim.events.top();
        sim.events.pop();
        sim.now = event.at;
        event.run();
    }
    return std::move(sim.report);
}

} // namespace Measure
