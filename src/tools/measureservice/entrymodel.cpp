#include "entrymodel.h"

#include "upstreammodel.h"

#include <dispatch/dispatcher.h>
#include <requests/retry.h>

namespace Measure {

namespace {

using Dispatch::Action;
using Dispatch::WorkResult;
using Dispatch::WorkResultKind;
using Requests::Reason;
using Requests::WorkId;

void answerDone(SimulationState& sim, std::uint64_t number)
{
    const Request& request = sim.requests.at(number);
    if (isMeasured(request)) {
        RankReport& report = rankReport(sim, request);
        ++report.done;
        report.late += sim.now > request.work.deadline ? 1 : 0;
        report.latencies.push_back(sim.now - request.arrived);
    }
    sim.requests.erase(number);
}

void answerFailed(SimulationState& sim, std::uint64_t number, Reason reason)
{
    const Request& request = sim.requests.at(number);
    if (isMeasured(request)) {
        RankReport& report = rankReport(sim, request);
        if (Requests::outcomeOf(reason) == Requests::Outcome::Unknown) {
            ++report.unknown;
        } else {
            ++report.notRun[reason];
            report.refusals.push_back(sim.now - request.arrived);
        }
    }
    sim.requests.erase(number);
}

/// The entry VM learns that an attempt failed.
void entryFailed(SimulationState& sim, std::uint64_t number, Reason reason, Utils::Duration retryAfter)
{
    const Request& request = sim.requests.at(number);
    const Requests::FailedAttempt failed { reason, retryAfter, request.attempts, request.work.idempotent,
        false, request.work.deadline, number };
    const Declarations::Rank& rank = sim.options.ranks.at(request.work.rank);
    const Requests::RetryDecision decision
        = Requests::decideRetry(sim.retries.at(request.entry), failed, {}, rank, sim.now);
    if (!decision.retry) {
        answerFailed(sim, number, reason);
        return;
    }
    at(sim, decision.at, [&sim, number] { sendToDispatcher(sim, number); });
}

Utils::Duration hopToDispatcher(const SimulationState& sim)
{
    return std::holds_alternative<PerEntry>(sim.router) ? Utils::Duration(0) : hop;
}

void scheduleTick(SimulationState& sim)
{
    const Dispatch::DispatchState* state = std::get_if<Dispatch::DispatchState>(&sim.router);
    if (state == nullptr)
        return;
    const Utils::Instant next = std::max(Dispatch::nextTick(*state), sim.now);
    if (next >= sim.tickAt || next == Utils::Instant::max())
        return;
    sim.tickAt = next;
    at(sim, next, [&sim, next] {
        if (sim.tickAt != next)
            return;
        sim.tickAt = Utils::Instant::max();
        perform(sim, Dispatch::tick(std::get<Dispatch::DispatchState>(sim.router), sim.now));
    });
}

std::vector<Action> routerSubmit(SimulationState& sim, const Request& request)
{
    if (Dispatch::DispatchState* state = std::get_if<Dispatch::DispatchState>(&sim.router))
        return Dispatch::submit(*state, request.work, sim.now);
    if (FirstCome* state = std::get_if<FirstCome>(&sim.router))
        return submitTo(*state, request.work, sim.now);
    const unsigned order = sim.options.ranks.at(request.work.rank).order;
    return submitTo(std::get<PerEntry>(sim.router), request.entry, order, request.work, sim.now);
}

std::vector<Action> routerFinished(
    SimulationState& sim, WorkId work, unsigned entry, unsigned upstream, const WorkResult& result)
{
    if (Dispatch::DispatchState* state = std::get_if<Dispatch::DispatchState>(&sim.router))
        return Dispatch::finished(*state, work, result, sim.now);
    std::vector<Action> actions;
    if (result.kind == WorkResultKind::NotRun)
        actions.emplace_back(Dispatch::AnswerWork { work, result.reason, result.retryAfter });
    if (result.kind == WorkResultKind::TimedOut)
        actions.emplace_back(Dispatch::AnswerWork { work, Reason::UpstreamTimeout, {} });
    FirstCome* firstCome = std::get_if<FirstCome>(&sim.router);
    const std::vector<Action> more = firstCome != nullptr
        ? finishedIn(*firstCome, upstream, sim.now)
        : finishedIn(std::get<PerEntry>(sim.router), entry, upstream, sim.now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

void startWork(SimulationState& sim, const Dispatch::StartWork& start)
{
    Request& request = sim.requests.at(requestOf(start.work));
    ++request.sent;
    if (isMeasured(request)) {
        ++sim.report.sent;
        sim.report.sentRequests += request.sent == 1 ? 1 : 0;
    }
    const unsigned upstream = numberOf(start.upstream.value);
    sim.started[start.work] = SentWork { upstream, sim.now };
    const UpstreamWork work { start.work, request.work.rank, request.service };
    at(sim, sim.now + hop, [&sim, upstream, work] { arriveAtUpstream(sim, upstream, work); });
    const WorkId id = start.work;
    at(sim, request.work.deadline, [&sim, id, upstream] { timeOut(sim, id, upstream); });
}

} // namespace

void sendToDispatcher(SimulationState& sim, std::uint64_t number)
{
    Request& request = sim.requests.at(number);
    ++request.attempts;
    request.work.id = workIdOf(number, request.attempts);
    if (isMeasured(request)) {
        ++sim.report.attempts;
        sim.report.requests += request.attempts == 1 ? 1 : 0;
    }
    at(sim, sim.now + hopToDispatcher(sim),
        [&sim, number] { perform(sim, routerSubmit(sim, sim.requests.at(number))); });
}

void reportResult(SimulationState& sim, WorkId work, const WorkResult& result)
{
    const std::unordered_map<WorkId, SentWork>::iterator found = sim.started.find(work);
    if (found == sim.started.end())
        return;
    const unsigned upstream = found->second.upstream;
    const Utils::Duration taken = measuredSince(sim, found->second.sentAt);
    sim.started.erase(found);
    const std::uint64_t number = requestOf(work);
    const Request& request = sim.requests.at(number);
    const unsigned entry = request.entry;
    rankReport(sim, request).takenTime += taken;
    const std::vector<Action> actions = routerFinished(sim, work, entry, upstream, result);
    if (result.kind == WorkResultKind::Done)
        at(sim, sim.now + hopToDispatcher(sim), [&sim, number] { answerDone(sim, number); });
    perform(sim, actions);
}

void perform(SimulationState& sim, const std::vector<Action>& actions)
{
    for (const Action& action : actions) {
        if (const Dispatch::StartWork* start = std::get_if<Dispatch::StartWork>(&action))
            startWork(sim, *start);
        const Dispatch::AnswerWork* answer = std::get_if<Dispatch::AnswerWork>(&action);
        if (answer == nullptr)
            continue;
        const Dispatch::AnswerWork given = *answer;
        at(sim, sim.now + hopToDispatcher(sim),
            [&sim, given] { entryFailed(sim, requestOf(given.work), given.reason, given.retryAfter); });
    }
    scheduleTick(sim);
}

} // namespace Measure
