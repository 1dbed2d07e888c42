#include "simulation.h"

#include "fakeupstream.h"
#include "firstcome.h"
#include "perentry.h"
#include "pool.h"

#include <dispatch/dispatcher.h>
#include <requests/retry.h>

#include <array>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>
#include <variant>

namespace Measure {

namespace {

using namespace std::chrono_literals;
using Dispatch::Action;
using Dispatch::WorkResult;
using Dispatch::WorkResultKind;
using Requests::Reason;
using Requests::Work;
using Requests::WorkId;

const Utils::Instant begin { 1000s };
/// What arrives before is not measured.
const Utils::Instant measureFrom = begin + 5s;
const Utils::Instant end = begin + 25s;
constexpr int slowFactor = 5;
constexpr std::size_t upstreamQueue = 8;
constexpr Utils::Duration shedRetryAfter = 50ms;
constexpr std::uint64_t attemptStep = 1ULL << 40U;

/// A request of a caller, over all its attempts.
struct Request {
    Work work;
    RankLoad load;
    unsigned entry = 0;
    unsigned attempts = 0;
    unsigned sent = 0;
    Utils::Instant arrived {};
    Utils::Duration service {};
};

/// A work that was sent to an upstream and has no result yet.
struct SentWork {
    unsigned upstream = 0;
    Utils::Instant sentAt {};
};

struct Event {
    Utils::Instant at {};
    std::uint64_t sequence = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const
    {
        return std::tie(other.at, other.sequence) < std::tie(this->at, this->sequence);
    }
};

using Router = std::variant<Dispatch::DispatchState, FirstCome, PerEntry>;

struct Simulation {
    Scenario scenario;
    Dispatch::DispatchOptions options = poolOptions();
    Router router;
    std::mt19937_64 random;
    std::array<FakeUpstream, upstreamCount> upstreams;
    std::array<Requests::RetryState, entryCount> retries;
    std::unordered_map<std::uint64_t, Request> requests;
    std::unordered_map<WorkId, SentWork> started;
    std::priority_queue<Event> events;
    std::uint64_t sequence = 0;
    std::uint64_t nextRequest = 1;
    Utils::Instant now = begin;
    Utils::Instant tickAt = Utils::Instant::max();
    ServiceReport report;
};

void perform(Simulation& sim, const std::vector<Action>& actions);
void sendToDispatcher(Simulation& sim, std::uint64_t requestNumber);

void at(Simulation& sim, Utils::Instant time, std::function<void()> run)
{
    sim.events.push(Event { time, sim.sequence++, std::move(run) });
}

/// Half of the mean, and an exponential part with the other half as its mean.
Utils::Duration drawAround(Simulation& sim, Utils::Duration mean)
{
    const double half = static_cast<double>(mean.count()) / 2;
    const double random = std::exponential_distribution<double>(1 / half)(sim.random);
    return Utils::Duration(static_cast<std::int64_t>(half + random));
}

std::uint64_t requestOf(WorkId id) { return id.value % attemptStep; }

bool isMeasured(const Request& request) { return request.arrived >= measureFrom; }

RankReport& rankReport(Simulation& sim, const Request& request)
{
    return sim.report.ranks[request.work.rank];
}

/// The part of the time since \a from that is measured.
Utils::Duration measuredSince(const Simulation& sim, Utils::Instant from)
{
    const Utils::Instant since = std::max(from, measureFrom);
    const Utils::Instant until = std::min(sim.now, end);
    return std::max(until - since, Utils::Duration(0));
}

// Answers to callers.

void answerDone(Simulation& sim, std::uint64_t number)
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

void answerFailed(Simulation& sim, std::uint64_t number, Reason reason)
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
void entryFailed(Simulation& sim, std::uint64_t number, Reason reason, Utils::Duration retryAfter)
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

// The dispatcher, or what stands in for it.

Utils::Duration hopToDispatcher(const Simulation& sim)
{
    return std::holds_alternative<PerEntry>(sim.router) ? Utils::Duration(0) : hop;
}

void scheduleTick(Simulation& sim)
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

std::vector<Action> routerSubmit(Simulation& sim, const Request& request)
{
    if (Dispatch::DispatchState* state = std::get_if<Dispatch::DispatchState>(&sim.router))
        return Dispatch::submit(*state, request.work, sim.now);
    if (FirstCome* state = std::get_if<FirstCome>(&sim.router))
        return submitTo(*state, request.work, sim.now);
    const unsigned order = sim.options.ranks.at(request.work.rank).order;
    return submitTo(std::get<PerEntry>(sim.router), request.entry, order, request.work, sim.now);
}

std::vector<Action> routerFinished(
    Simulation& sim, WorkId work, unsigned entry, unsigned upstream, const WorkResult& result)
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

void sendToDispatcher(Simulation& sim, std::uint64_t number)
{
    Request& request = sim.requests.at(number);
    ++request.attempts;
    request.work.id = WorkId { number + request.attempts * attemptStep };
    if (isMeasured(request)) {
        ++sim.report.attempts;
        sim.report.requests += request.attempts == 1 ? 1 : 0;
    }
    at(sim, sim.now + hopToDispatcher(sim),
        [&sim, number] { perform(sim, routerSubmit(sim, sim.requests.at(number))); });
}

/// A network thread reports the result of a started work, unless it has timed out before.
void reportResult(Simulation& sim, WorkId work, const WorkResult& result)
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

// The upstreams.

void beginWork(Simulation& sim, unsigned number, const UpstreamWork& work);

void endWork(Simulation& sim, unsigned number, WorkId id, bool completed)
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

void beginWork(Simulation& sim, unsigned number, const UpstreamWork& work)
{
    FakeUpstream& upstream = sim.upstreams.at(number);
    upstream.running[work.id] = { work, sim.now };
    sim.report.mostRunning = std::max(sim.report.mostRunning, static_cast<unsigned>(upstream.running.size()));
    const Utils::Duration service
        = upstream.fault == UpstreamFault::Slow ? work.service * slowFactor : work.service;
    const WorkId id = work.id;
    at(sim, sim.now + service, [&sim, number, id] { endWork(sim, number, id, true); });
}

void arriveAtUpstream(Simulation& sim, unsigned number, const UpstreamWork& work)
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

/// No answer within the deadline: the upstream is told to stop, and its slot is free once it has.
void timeOut(Simulation& sim, WorkId work, unsigned upstream)
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

// Actions.

void startWork(Simulation& sim, const Dispatch::StartWork& start)
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

void perform(Simulation& sim, const std::vector<Action>& actions)
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

// Callers.

Request newRequest(Simulation& sim, const RankLoad& load, std::uint64_t number)
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

void arrive(Simulation& sim, const RankLoad& load)
{
    if (sim.now >= end)
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

void prepare(Simulation& sim, Routing routing)
{
    sim.upstreams.at(0).fault = sim.scenario.fault;
    if (routing == Routing::FirstCome)
        sim.router = FirstCome {};
    if (routing == Routing::PerEntry)
        sim.router = PerEntry {};
    if (routing != Routing::Dispatcher)
        return;
    Dispatch::DispatchState state;
    Dispatch::configure(state, sim.options, begin);
    for (unsigned number = 0; number < upstreamCount; ++number)
        Dispatch::placeShard(state, shardName(number), upstreamName(number), begin);
    sim.router = std::move(state);
}

} // namespace

ServiceReport simulate(const Scenario& scenario, Routing routing, std::uint64_t seed)
{
    Simulation sim;
    sim.scenario = scenario;
    sim.random.seed(seed);
    sim.report.slotTime = (end - measureFrom) * upstreamCount * slotCount;
    prepare(sim, routing);
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
