#include <balancing/admission.h>
#include <balancing/chooseupstream.h>
#include <balancing/loadmodel.h>
#include <balancing/yielding.h>

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>
#include <random>

using namespace Balancing;
using namespace std::chrono_literals;
using Utils::Duration;
using Utils::Instant;

namespace {

/// A kind of request, as callers send it to one service.
struct Kind {
    unsigned priority = 0;
    double perSecond = 0;
    Duration work {};
    Duration target {};
    Duration deadline {};
    /// Factor of its rate during the burst.
    double burst = 1;
};

struct Result {
    unsigned owed = 0;
    unsigned served = 0;
    unsigned onTime = 0;
};

struct Request {
    std::size_t kind = 0;
    std::size_t vm = 0;
    Instant firstSentAt {};
    Instant sentAt {};
    bool isRetry = false;
};

struct Upstream {
    unsigned running = 0;
    std::deque<Request> waiting;
};

/// Plays callers, VMs and upstreams of one service in virtual time, with the production decisions.
struct Play {
    static constexpr unsigned slots = 3;
    static constexpr std::size_t maxWaiting = 6;
    static constexpr std::size_t vmCount = 12;

    std::vector<Kind> kinds;
    bool yields = true;
    std::vector<Upstream> upstreams = std::vector<Upstream>(11);
    std::vector<ServiceStats> stats = std::vector<ServiceStats>(vmCount);
    std::vector<std::vector<UpstreamLoad>> loads
        = std::vector<std::vector<UpstreamLoad>>(vmCount, std::vector<UpstreamLoad>(11));
    std::vector<Result> results = std::vector<Result>(2);
    std::multimap<Instant, std::function<void()>> events;
    std::mt19937_64 random;
    Instant now { 100s };
};

Routing::ReportedLoad loadOf(const Upstream& upstream)
{
    return { upstream.running, static_cast<unsigned>(upstream.waiting.size()), Play::slots };
}

void arrive(Play& play, Request request);

void run(Play& play, std::size_t upstream, const Request& request)
{
    ++play.upstreams[upstream].running;
    std::uniform_real_distribution<double> spread(0.6, 1.4);
    const Duration work(static_cast<std::int64_t>(
        static_cast<double>(play.kinds[request.kind].work.count()) * spread(play.random)));
    play.events.emplace(play.now + work, [&play, upstream, request] {
        Upstream& server = play.upstreams[upstream];
        --server.running;
        if (!server.waiting.empty()) {
            const Request next = server.waiting.front();
            server.waiting.pop_front();
            run(play, upstream, next);
        }
        const Kind& kind = play.kinds[request.kind];
        recordResponse(play.loads[request.vm][upstream], play.stats[request.vm],
            { play.now - request.sentAt, kind.work, loadOf(server), true }, play.now);
        const Duration elapsed = play.now - request.firstSentAt;
        play.results[request.kind].served += elapsed <= kind.deadline ? 1 : 0;
        play.results[request.kind].onTime += elapsed <= kind.target ? 1 : 0;
    });
}

void comeBack(Play& play, Request request, Duration delay)
{
    if (request.isRetry)
        return;
    request.isRetry = true;
    play.events.emplace(play.now + delay, [&play, request] { arrive(play, request); });
}

void arrive(Play& play, Request request)
{
    const Kind& kind = play.kinds[request.kind];
    ServiceStats& stats = play.stats[request.vm];
    std::vector<Candidate> candidates;
    for (std::size_t index = 0; index < play.upstreams.size(); ++index) {
        Candidate candidate;
        candidate.id = { "u" + std::to_string(index) };
        candidate.load = &play.loads[request.vm][index];
        candidate.slots = Play::slots;
        candidates.push_back(candidate);
    }
    const Placement placement
        = *chooseUpstream(candidates, { &stats, kind.work, 0, play.random() }, play.now);
    AdmissionContext context;
    context.expectedLatency = placement.expectedLatency;
    context.unloadedLatency = kind.work;
    context.timeToTarget = request.firstSentAt + kind.target - play.now;
    context.timeLeft = request.firstSentAt + kind.deadline - play.now;
    context.isCallerRetry = request.isRetry;
    context.seed = play.random();
    context.mustYield = play.yields && mustYield(stats, kind.priority, placement.load, Play::slots, play.now);
    const AdmissionDecision decision = admit(context);
    if (!decision.admitted) {
        if (!decision.yielded)
            recordRejectedForLoad(stats, kind.priority, play.now);
        comeBack(play, request, decision.retryAfter);
        return;
    }
    request.sentAt = play.now;
    UpstreamLoad& load = play.loads[request.vm][placement.index];
    recordRequestSent(load, play.now);
    Upstream& upstream = play.upstreams[placement.index];
    if (upstream.running < Play::slots) {
        run(play, placement.index, request);
    } else if (upstream.waiting.size() < Play::maxWaiting) {
        upstream.waiting.push_back(request);
    } else {
        recordRejection(load, stats, loadOf(upstream), play.now);
        recordRejectedForLoad(stats, kind.priority, play.now);
        comeBack(play, request, 300ms);
    }
}

void startCallers(Play& play, std::size_t kind, Instant end)
{
    const bool isBurst = play.now >= Instant(103s) && play.now < Instant(109s);
    const double rate = play.kinds[kind].perSecond * (isBurst ? play.kinds[kind].burst : 1);
    std::exponential_distribution<double> gap(rate);
    const Duration delay(static_cast<std::int64_t>(gap(play.random) * 1e6));
    play.events.emplace(play.now + delay, [&play, kind, end] {
        if (play.now >= end)
            return;
        ++play.results[kind].owed;
        Request request;
        request.kind = kind;
        request.vm = play.random() % Play::vmCount;
        request.firstSentAt = play.now;
        arrive(play, request);
        startCallers(play, kind, end);
    });
}

/// Share of the requests of \a result that are served, and on time.
double servedShare(const Result& result) { return double(result.served) / result.owed; }

double onTimeShare(const Result& result) { return double(result.onTime) / result.owed; }

std::vector<Result> play(bool yields, std::uint64_t seed)
{
    Play play;
    // A booking with a target of half a second, and lists that take nine tenths of one and may take five.
    play.kinds = { { 0, 24, 150ms, 500ms, 2000ms, 1 }, { 2, 21, 880ms, 5000ms, 10000ms, 2.4 } };
    play.yields = yields;
    play.random.seed(seed);
    for (std::size_t kind = 0; kind < play.kinds.size(); ++kind)
        startCallers(play, kind, Instant(113s));
    while (!play.events.empty()) {
        const auto next = play.events.begin();
        play.now = next->first;
        const std::function<void()> event = next->second;
        play.events.erase(next);
        event();
    }
    return play.results;
}

} // namespace

TEST_CASE(
    "A burst of less urgent requests does not push out the urgent ones of the same service", "[yielding]")
{
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
    INFO(seed);
    // The platform charges for a kind that is served less often than a less urgent one of its service by over
    // 5 in 100, or on time by over 15 in 100.
    const std::vector<Result> results = play(true, seed);
    CHECK(servedShare(results[0]) >= servedShare(results[1]) - 0.05);
    CHECK(onTimeShare(results[0]) >= onTimeShare(results[1]) - 0.15);
    const std::vector<Result> former = play(false, seed);
    CHECK(onTimeShare(former[0]) < onTimeShare(former[1]) - 0.15);
    // No kind may be served less than a quarter as often as all requests.
    CHECK(servedShare(results[1]) > 0.25);
}

TEST_CASE("Requests yield only to more urgent ones that were rejected recently", "[yielding]")
{
    struct Row {
        const char* name;
        unsigned rejectedPriority;
        unsigned priority;
        Duration age;
        double load;
        unsigned slots;
        bool yields;
    };
    const Row row = GENERATE(values<Row>({
        { "two of three slots taken", 0, 2, 100ms, 2, 3, true },
        { "one of three slots taken", 0, 2, 100ms, 1, 3, false },
        { "an idle upstream of two slots", 0, 2, 100ms, 0.3, 2, false },
        { "one of two slots taken", 0, 2, 100ms, 1, 2, true },
        { "a single slot, idle", 0, 2, 100ms, 0, 1, false },
        { "rejected long ago", 0, 2, 8500ms, 3, 3, false },
        { "of the same priority", 2, 2, 100ms, 3, 3, false },
        { "more urgent than the rejected one", 2, 1, 100ms, 3, 3, false },
    }));
    INFO(row.name);
    ServiceStats stats;
    const Instant now { 100s };
    recordRejectedForLoad(stats, row.rejectedPriority, now - row.age);
    CHECK(mustYield(stats, row.priority, row.load, row.slots, now) == row.yields);
}
