#include "loadreplay.h"

#include <balancing/admission.h>
#include <balancing/chooseupstream.h>
#include <balancing/concurrencylimit.h>
#include <balancing/loadmodel.h>
#include <balancing/workqueue.h>
#include <balancing/yielding.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <sstream>

namespace LoadReplay {

namespace Internal {

using namespace std::chrono_literals;
using Utils::Duration;
using Utils::Instant;

constexpr Duration networkDelay = 2ms;
constexpr Instant start { 100s };

/// A request of a caller with all its attempts.
struct Request {
    std::uint64_t id = 0;
    std::size_t kind = 0;
    Instant firstSentAt {};
    double workFactor = 1;
    unsigned attempts = 0;
    bool isDone = false;
    // The current attempt.
    std::size_t vm = 0;
    unsigned vmGeneration = 0;
    Instant deadlineAt {};
    std::size_t upstream = 0;
    Instant sentAt {};
    bool isAtUpstream = false;
    /// The caller waits until it tries again.
    bool isAtCaller = false;
    unsigned attemptId = 0;
};

struct Upstream {
    double speed = 1;
    unsigned running = 0;
    std::deque<std::size_t> waiting;
};

struct Vm {
    Balancing::ServiceStats stats;
    std::vector<Balancing::UpstreamLoad> loads;
    std::vector<Duration> meanLatencies;
    Balancing::ConcurrencyLimit limit;
    Balancing::WorkQueue queue;
    unsigned generation = 0;
};

struct Play {
    const Load& load;
    Policy policy;
    std::vector<Request> requests {};
    std::vector<Upstream> upstreams {};
    std::vector<Vm> vms {};
    std::multimap<Instant, std::function<void()>> events {};
    std::mt19937_64 random {};
    Instant now = start;
    Result result {};
};

const Kind& kindOf(const Play& play, const Request& request) { return play.load.kinds[request.kind]; }

Vm makeVm(const Load& load)
{
    Vm vm;
    vm.loads.resize(load.upstreams);
    for (const Kind& kind : load.kinds)
        vm.meanLatencies.push_back(kind.work);
    Balancing::updateEvenShare(
        vm.limit, static_cast<double>(load.upstreams) * load.slots, static_cast<double>(load.vms));
    return vm;
}

void complete(Play& play, Request& request)
{
    const Kind& kind = kindOf(play, request);
    const Duration elapsed = play.now - request.firstSentAt;
    request.isDone = true;
    KindResult& result = play.result.kinds[request.kind];
    if (elapsed <= kind.target) {
        ++result.inTime;
        play.result.worth += kind.worth;
    } else if (elapsed <= kind.callerDeadline) {
        ++result.late;
        play.result.worth += kind.worth * kind.lateShare;
    } else {
        ++result.failed;
    }
}

void arrive(Play& play, std::size_t index);

/// The caller comes back after \a delay if it has an attempt and time left.
void reject(Play& play, std::size_t index, Duration delay)
{
    Request& request = play.requests[index];
    ++request.attemptId;
    const Kind& kind = kindOf(play, request);
    const Instant back = play.now + delay;
    if (request.attempts > kind.callerRetries || back >= request.firstSentAt + kind.callerDeadline) {
        request.isDone = true;
        ++play.result.kinds[request.kind].refused;
        return;
    }
    request.isAtCaller = true;
    play.events.emplace(back, [&play, index] { arrive(play, index); });
}

void fail(Play& play, Request& request)
{
    ++request.attemptId;
    request.isDone = true;
    ++play.result.kinds[request.kind].failed;
}

void startWaiting(Play& play, std::size_t vmIndex);

void endAttempt(Play& play, std::size_t vmIndex)
{
    Vm& vm = play.vms[vmIndex];
    vm.limit.inUse -= vm.limit.inUse > 0 ? 1 : 0;
    if (play.policy == Policy::WorkQueue)
        startWaiting(play, vmIndex);
}

Routing::ReportedLoad reportOf(const Play& play, const Upstream& upstream)
{
    return { upstream.running, static_cast<unsigned>(upstream.waiting.size()), play.load.slots };
}

void handleResponse(Play& play, std::size_t index, unsigned attemptId, const Routing::ReportedLoad& report)
{
    Request& request = play.requests[index];
    Vm& vm = play.vms[request.vm];
    if (request.isDone || request.attemptId != attemptId || request.vmGeneration != vm.generation)
        return;
    const Duration latency = play.now - request.sentAt;
    Balancing::UpstreamLoad& load = vm.loads[request.upstream];
    Duration& mean = vm.meanLatencies[request.kind];
    Balancing::recordResponse(load, vm.stats, { latency, mean, report, true }, play.now);
    Balancing::recordReport(vm.limit, report);
    Balancing::recordCompletion(vm.queue, latency, mean);
    if (report.waiting == 0) {
        const Duration usual(
            static_cast<std::int64_t>(static_cast<double>(latency.count()) / load.slowdownFactor));
        mean = Balancing::updatedMean(mean, usual);
        vm.stats.serviceTime = Balancing::updatedMean(vm.stats.serviceTime, usual);
    }
    ++request.attemptId;
    complete(play, request);
    endAttempt(play, request.vm);
}

void run(Play& play, std::size_t upstreamIndex, std::size_t index)
{
    Request& request = play.requests[index];
    Upstream& upstream = play.upstreams[upstreamIndex];
    ++upstream.running;
    const unsigned attemptId = request.attemptId;
    const Duration work(static_cast<std::int64_t>(
        static_cast<double>(kindOf(play, request).work.count()) * request.workFactor / upstream.speed));
    play.events.emplace(play.now + work, [&play, upstreamIndex, index, attemptId] {
        Upstream& server = play.upstreams[upstreamIndex];
        --server.running;
        while (!server.waiting.empty() && server.running < play.load.slots) {
            const std::size_t next = server.waiting.front();
            server.waiting.pop_front();
            if (play.requests[next].deadlineAt > play.now)
                run(play, upstreamIndex, next);
            else
                ++play.result.notRun;
        }
        const Routing::ReportedLoad report = reportOf(play, server);
        play.events.emplace(play.now + networkDelay,
            [&play, index, attemptId, report] { handleResponse(play, index, attemptId, report); });
    });
}

void reachUpstream(Play& play, std::size_t index, unsigned attemptId)
{
    Request& request = play.requests[index];
    if (request.attemptId != attemptId)
        return;
    Upstream& upstream = play.upstreams[request.upstream];
    if (upstream.running < play.load.slots) {
        run(play, request.upstream, index);
        return;
    }
    if (upstream.waiting.size() < play.load.maxWaiting) {
        upstream.waiting.push_back(index);
        return;
    }
    ++play.result.notRun;
    if (play.load.hangsWhenFull)
        return;
    const Routing::ReportedLoad report = reportOf(play, upstream);
    play.events.emplace(play.now + networkDelay, [&play, index, attemptId, report] {
        Request& rejected = play.requests[index];
        Vm& vm = play.vms[rejected.vm];
        if (rejected.attemptId != attemptId || rejected.vmGeneration != vm.generation)
            return;
        Balancing::recordRejection(vm.loads[rejected.upstream], vm.stats, report, play.now);
        Balancing::recordRejectedForLoad(vm.stats, kindOf(play, rejected).priority, play.now);
        Balancing::recordLackOfRoom(vm.limit);
        reject(play, index, 300ms);
        endAttempt(play, rejected.vm);
    });
}

Balancing::Placement choose(Play& play, const Request& request)
{
    Vm& vm = play.vms[request.vm];
    std::vector<Balancing::Candidate> candidates;
    for (std::size_t index = 0; index < play.upstreams.size(); ++index) {
        Balancing::Candidate candidate;
        candidate.id = { "u" + std::to_string(index) };
        candidate.load = &vm.loads[index];
        candidate.slots = play.load.slots;
        candidates.push_back(candidate);
    }
    return *Balancing::chooseUpstream(
        candidates, { &vm.stats, vm.meanLatencies[request.kind], 0, play.random() }, play.now);
}

void send(Play& play, std::size_t index, std::size_t upstream)
{
    Request& request = play.requests[index];
    Vm& vm = play.vms[request.vm];
    request.upstream = upstream;
    request.sentAt = play.now;
    request.isAtUpstream = true;
    ++vm.limit.inUse;
    Balancing::recordRequestSent(vm.loads[upstream], play.now);
    const unsigned attemptId = request.attemptId;
    play.events.emplace(
        play.now + networkDelay, [&play, index, attemptId] { reachUpstream(play, index, attemptId); });
}

void startWaiting(Play& play, std::size_t vmIndex)
{
    Vm& vm = play.vms[vmIndex];
    const unsigned places = Balancing::maxRequests(vm.limit, std::nullopt, play.now);
    while (vm.limit.inUse < places) {
        const std::optional<std::uint64_t> next = Balancing::takeNext(vm.queue, play.now);
        if (!next)
            return;
        send(play, *next, choose(play, play.requests[*next]).index);
    }
    for (const Balancing::QueueRejection& rejection : Balancing::takeHopeless(vm.queue, places, play.now))
        reject(play, rejection.id, rejection.retryAfter);
}

void admitToUpstream(Play& play, std::size_t index)
{
    Request& request = play.requests[index];
    const Kind& kind = kindOf(play, request);
    Vm& vm = play.vms[request.vm];
    const Balancing::Placement placement = choose(play, request);
    Balancing::AdmissionContext context;
    context.expectedLatency = placement.expectedLatency;
    context.unloadedLatency = vm.meanLatencies[request.kind];
    context.timeToTarget = request.firstSentAt + kind.target - play.now;
    context.timeLeft = request.deadlineAt - play.now;
    context.isCallerRetry = request.attempts > 1;
    context.seed = play.random();
    context.mustYield
        = Balancing::mustYield(vm.stats, kind.priority, placement.load, play.load.slots, play.now);
    const Balancing::AdmissionDecision decision = Balancing::admit(context);
    if (decision.admitted) {
        send(play, index, placement.index);
        return;
    }
    if (!decision.yielded)
        Balancing::recordRejectedForLoad(vm.stats, kind.priority, play.now);
    reject(play, index, decision.retryAfter);
}

void armDeadline(Play& play, std::size_t index)
{
    const unsigned attemptId = play.requests[index].attemptId;
    play.events.emplace(play.requests[index].deadlineAt, [&play, index, attemptId] {
        Request& request = play.requests[index];
        Vm& vm = play.vms[request.vm];
        if (request.isDone || request.attemptId != attemptId || request.vmGeneration != vm.generation)
            return;
        Balancing::removeWaiting(vm.queue, index);
        const bool wasSent = request.isAtUpstream;
        fail(play, request);
        if (!wasSent)
            return;
        Balancing::recordFailure(vm.loads[request.upstream], play.now);
        Balancing::recordLackOfRoom(vm.limit);
        endAttempt(play, request.vm);
    });
}

void arrive(Play& play, std::size_t index)
{
    Request& request = play.requests[index];
    const Kind& kind = kindOf(play, request);
    ++request.attempts;
    ++request.attemptId;
    request.isAtUpstream = false;
    request.isAtCaller = false;
    request.vm = play.random() % play.vms.size();
    Vm& vm = play.vms[request.vm];
    request.vmGeneration = vm.generation;
    request.deadlineAt = std::min(play.now + kind.timeout, request.firstSentAt + kind.callerDeadline);
    armDeadline(play, index);
    if (play.policy == Policy::Admission) {
        admitToUpstream(play, index);
        return;
    }
    Balancing::addWaiting(vm.queue,
        { index, kind.priority, play.now, request.firstSentAt + kind.target, request.deadlineAt,
            vm.meanLatencies[request.kind], request.attempts > 1, false, 1000 });
    startWaiting(play, request.vm);
}

/// All VMs lose what they have taken, and what they know.
void restartVms(Play& play)
{
    for (Vm& vm : play.vms) {
        const unsigned generation = vm.generation;
        vm = makeVm(play.load);
        vm.generation = generation + 1;
    }
    for (std::size_t index = 0; index < play.requests.size(); ++index) {
        Request& request = play.requests[index];
        if (request.attempts > 0 && !request.isDone && !request.isAtCaller)
            fail(play, request);
    }
}

void drawRequests(Play& play, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> spread(0.6, 1.4);
    std::uniform_real_distribution<double> uniform(0, 1);
    constexpr double noisyFactor = 3;
    for (std::size_t kindIndex = 0; kindIndex < play.load.kinds.size(); ++kindIndex) {
        const Kind& kind = play.load.kinds[kindIndex];
        Duration at {};
        while (at < play.load.length) {
            const bool isBurst
                = at >= play.load.burstStart && at < play.load.burstStart + play.load.burstLength;
            std::exponential_distribution<double> gap(kind.perSecond * (isBurst ? kind.burst : 1));
            at += Duration(static_cast<std::int64_t>(gap(random) * 1e6));
            Request request;
            request.kind = kindIndex;
            request.firstSentAt = start + at;
            request.workFactor = spread(random) * (uniform(random) < play.load.noisyShare ? noisyFactor : 1);
            play.requests.push_back(request);
        }
    }
    std::uniform_real_distribution<double> speed(play.load.slowestSpeed, play.load.fastestSpeed);
    for (std::size_t index = 0; index < play.load.upstreams; ++index)
        play.upstreams.push_back({ speed(random), 0, {} });
}

/// Serves what has arrived from one queue: urgent before less urgent, in time before late, by target. Uses
/// the fastest free slot.
void serveFromOneQueue(Play& play)
{
    std::multimap<Instant, std::size_t> arrivals;
    for (std::size_t index = 0; index < play.requests.size(); ++index)
        arrivals.emplace(play.requests[index].firstSentAt, index);
    std::multimap<double, std::size_t, std::greater<>> freeSlots;
    for (std::size_t index = 0; index < play.upstreams.size(); ++index)
        for (unsigned slot = 0; slot < play.load.slots; ++slot)
            freeSlots.emplace(play.upstreams[index].speed, index);
    std::multimap<Instant, std::pair<std::size_t, std::size_t>> running;
    std::vector<std::size_t> waiting;
    auto arrival = arrivals.begin();
    while (arrival != arrivals.end() || !running.empty()) {
        const bool isArrival
            = running.empty() || (arrival != arrivals.end() && arrival->first <= running.begin()->first);
        if (isArrival) {
            play.now = arrival->first;
            waiting.push_back(arrival->second);
            ++arrival;
        } else {
            play.now = running.begin()->first;
            const std::size_t upstream = running.begin()->second.second;
            complete(play, play.requests[running.begin()->second.first]);
            running.erase(running.begin());
            freeSlots.emplace(play.upstreams[upstream].speed, upstream);
        }
        while (!waiting.empty() && !freeSlots.empty()) {
            const double speed = freeSlots.begin()->first;
            const auto endOf = [&](std::size_t index) {
                const Request& request = play.requests[index];
                return play.now
                    + Duration(
                        static_cast<std::int64_t>(static_cast<double>(kindOf(play, request).work.count())
                            * request.workFactor / speed));
            };
            std::erase_if(waiting, [&](std::size_t index) {
                const Request& request = play.requests[index];
                const bool isLost = endOf(index) > request.firstSentAt + kindOf(play, request).callerDeadline;
                play.result.kinds[request.kind].refused += isLost ? 1 : 0;
                return isLost;
            });
            const auto key = [&](std::size_t index) {
                const Request& request = play.requests[index];
                const Kind& kind = kindOf(play, request);
                return std::tuple(
                    kind.priority, endOf(index) > request.firstSentAt + kind.target, request.firstSentAt);
            };
            const auto next = std::min_element(waiting.begin(), waiting.end(),
                [&](std::size_t left, std::size_t right) { return key(left) < key(right); });
            if (next == waiting.end())
                break;
            running.emplace(endOf(*next), std::pair(*next, freeSlots.begin()->second));
            freeSlots.erase(freeSlots.begin());
            waiting.erase(next);
        }
    }
}

} // namespace Internal

Result replay(const Load& load, Policy policy, std::uint64_t seed)
{
    Internal::Play play { load, policy };
    play.result.kinds.resize(load.kinds.size());
    Internal::drawRequests(play, seed);
    for (const Internal::Request& request : play.requests)
        ++play.result.kinds[request.kind].sent;
    if (policy == Policy::Omniscient) {
        Internal::serveFromOneQueue(play);
        return play.result;
    }
    play.random.seed(seed + 1);
    for (std::size_t index = 0; index < load.vms; ++index)
        play.vms.push_back(Internal::makeVm(load));
    for (std::size_t index = 0; index < play.requests.size(); ++index)
        play.events.emplace(
            play.requests[index].firstSentAt, [&play, index] { Internal::arrive(play, index); });
    if (load.restartAt)
        play.events.emplace(Internal::start + *load.restartAt, [&play] { Internal::restartVms(play); });
    while (!play.events.empty()) {
        const std::function<void()> handler = std::move(play.events.begin()->second);
        play.now = play.events.begin()->first;
        play.events.erase(play.events.begin());
        handler();
    }
    return play.result;
}

std::string describe(const Load& load, const Result& result)
{
    std::ostringstream text;
    for (std::size_t index = 0; index < load.kinds.size(); ++index) {
        const KindResult& kind = result.kinds[index];
        text << "  " << load.kinds[index].name << ": sent " << kind.sent << ", in time " << kind.inTime
             << ", late " << kind.late << ", refused " << kind.refused << ", failed " << kind.failed << '\n';
    }
    text << "  worth " << result.worth << ", sent and not run " << result.notRun << '\n';
    return text.str();
}

} // namespace LoadReplay
