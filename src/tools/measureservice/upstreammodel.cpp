#include "upstreammodel.h"

#include "entrymodel.h"

#include <dispatch/dispatcher.h>

#include <cstddef>

namespace Measure {

namespace {

using namespace std::chrono_literals;
using Dispatch::WorkResult;
using Dispatch::WorkResultKind;
using Requests::Reason;
using Requests::WorkId;

constexpr int slowFactor = 5;
constexpr unsigned coldWorks = 100;
constexpr std::size_t upstreamQueue = 8;
constexpr Utils::Duration shedRetryAfter = 50ms;

void beginWork(SimulationState& sim, unsigned number, const UpstreamWork& work);

bool isSlow(const FakeUpstream& upstream)
{
    return upstream.fault == UpstreamFault::Slow
        || (upstream.fault == UpstreamFault::Cold && upstream.completed < coldWorks);
}

void endWork(SimulationState& sim, unsigned number, WorkId id, bool completed)
{
    FakeUpstream& upstream = sim.upstreams.at(number);
    const std::map<WorkId, std::pair<UpstreamWork, Utils::Instant>>::iterator found
        = upstream.running.find(id);
    if (found == upstream.running.end())
        return;
    const Utils::Instant began = found->second.second;
    sim.report.ranks[found->second.first.rank].slotTime += measuredSince(sim, began);
    upstream.running.erase(found);
    if (completed) {
        ++upstream.completed;
        WorkResult result;
        result.serviceTime = sim.now - began + 2 * hop;
        at(sim, sim.now + hop, [&sim, id, result] { reportResult(sim, id, result); });
    }
    if (upstream.queue.empty())
        return;
    const UpstreamWork next = upstream.queue.front();
    upstream.queue.pop_front();
    beginWork(sim, number, next);
}

void beginWork(SimulationState& sim, unsigned number, const UpstreamWork& work)
{
    FakeUpstream& upstream = sim.upstreams.at(number);
    upstream.running[work.id] = { work, sim.now };
    sim.report.mostRunning = std::max(sim.report.mostRunning, static_cast<unsigned>(upstream.running.size()));
    const Utils::Duration service = isSlow(upstream) ? work.service * slowFactor : work.service;
    const WorkId id = work.id;
    at(sim, sim.now + service, [&sim, number, id] { endWork(sim, number, id, true); });
}

} // namespace

void arriveAtUpstream(SimulationState& sim, unsigned number, const UpstreamWork& work)
{
    FakeUpstream& upstream = sim.upstreams.at(number);
    const bool sheds = upstream.fault == UpstreamFault::Shedding;
    const std::size_t slots = sheds ? 1 : slotCount;
    const std::size_t queued = sheds ? 0 : upstreamQueue;
    if (upstream.running.size() < slots) {
        beginWork(sim, number, work);
        return;
    }
    if (upstream.queue.size() < queued) {
        upstream.queue.push_back(work);
        return;
    }
    WorkResult refused;
    refused.kind = WorkResultKind::NotRun;
    refused.reason = Reason::UpstreamShedding;
    refused.retryAfter = shedRetryAfter;
    const WorkId id = work.id;
    at(sim, sim.now + hop, [&sim, id, refused] { reportResult(sim, id, refused); });
}

void timeOut(SimulationState& sim, WorkId work, unsigned upstream)
{
    if (!sim.started.contains(work))
        return;
    WorkResult result;
    result.kind = WorkResultKind::TimedOut;
    result.serviceTime = sim.now - sim.requests.at(requestOf(work)).arrived;
    reportResult(sim, work, result);
    at(sim, sim.now + hop, [&sim, work, upstream] {
        std::erase_if(sim.upstreams.at(upstream).queue,
            [work](const UpstreamWork& queued) { return queued.id == work; });
        endWork(sim, upstream, work, false);
    });
    at(sim, sim.now + 2 * hop, [&sim, work] {
        if (Dispatch::DispatchState* state = std::get_if<Dispatch::DispatchState>(&sim.router))
            perform(sim, Dispatch::released(*state, work, sim.now));
    });
}

} // namespace Measure
