#include "fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

using namespace Dispatch;
using namespace Fixture;
using Requests::Outcome;
using Requests::Reason;
using Requests::WorkId;

namespace {

/// Runs random events against a dispatcher and keeps the books that its promises are checked against.
struct Run {
    DispatchState state = pool();
    std::mt19937_64 random;
    Utils::Instant now = start;
    std::uint64_t nextId = 1;
    std::map<WorkId, Requests::Work> open;
    std::map<WorkId, Utils::UpstreamId> running;
    /// Request ids that may have run.
    std::set<std::string> ranIds;
    bool broken = false;

    explicit Run(std::uint64_t seed)
        : random(seed)
    {
    }

    std::uint64_t draw(std::uint64_t bound) { return this->random() % bound; }
};

void expect(Run& run, bool holds, const char* what)
{
    if (holds)
        return;
    run.broken = true;
    UNSCOPED_INFO(what);
}

void close(Run& run, WorkId work)
{
    expect(run, run.open.erase(work) == 1, "a final action for a work that is not open");
    expect(run, !run.running.contains(work), "a final action while running");
}

void takeStart(Run& run, const StartWork& start)
{
    expect(run, run.open.contains(start.work), "started a work that is not open");
    expect(run, run.running.emplace(start.work, start.upstream).second, "started while running");
    if (!run.open.contains(start.work))
        return;
    const Requests::Work& work = run.open.at(start.work);
    if (!work.idempotent)
        expect(run, run.ranIds.insert(work.requestId.value).second, "started an id that may have run");
}

void take(Run& run, const std::vector<Action>& actions)
{
    for (const Action& action : actions) {
        if (const StartWork* start = std::get_if<StartWork>(&action))
            takeStart(run, *start);
        if (const AnswerWork* answer = std::get_if<AnswerWork>(&action)) {
            expect(run, answer->reason != Reason::None, "an answer without a reason");
            close(run, answer->work);
        }
        if (const ReplayAnswer* replay = std::get_if<ReplayAnswer>(&action))
            close(run, replay->work);
    }
    std::map<Utils::UpstreamId, unsigned> used;
    for (const std::pair<const WorkId, Utils::UpstreamId>& work : run.running)
        expect(run, ++used[work.second] <= 2, "more works than slots");
}

void submitRandom(Run& run)
{
    const std::array<Utils::RankId, 4> ranks { urgent, normal, bulk, { "undeclared" } };
    Requests::Work work = Fixture::work(run.nextId++, ranks.at(run.draw(20) == 0 ? 3 : run.draw(3)));
    work.shard = { "range/" + std::to_string(run.draw(4)) };
    work.caller = "caller-" + std::to_string(run.draw(5));
    work.deadline = run.now + run.draw(300) * 1ms;
    work.contentDigest = run.draw(10);
    work.idempotent = run.draw(2) == 0;
    if (!work.idempotent) {
        work.requestId = { "id-" + std::to_string(run.draw(60)) };
        work.attempt = 1 + static_cast<unsigned>(run.draw(2));
        work.contentDigest = std::hash<std::string>()(work.requestId.value) % 7;
    }
    run.open[work.id] = work;
    take(run, submit(run.state, work, run.now));
}

void finishRandom(Run& run)
{
    if (run.running.empty())
        return;
    std::map<WorkId, Utils::UpstreamId>::iterator it = run.running.begin();
    std::advance(it, run.draw(run.running.size()));
    const WorkId id = it->first;
    run.running.erase(it);
    const std::array<WorkResultKind, 8> kinds { WorkResultKind::Done, WorkResultKind::Done,
        WorkResultKind::Done, WorkResultKind::NotRun, WorkResultKind::NotRun, WorkResultKind::Lost,
        WorkResultKind::Crashed, WorkResultKind::TimedOut };
    WorkResult result = done(run.draw(50) * 1ms);
    result.kind = kinds.at(run.draw(kinds.size()));
    result.wholeAnswer = run.draw(2) == 0;
    if (result.kind == WorkResultKind::NotRun) {
        const std::array<Reason, 4> reasons { Reason::UpstreamShedding, Reason::UpstreamUnreachable,
            Reason::StaleToken, Reason::DeadlinePassed };
        result.reason = reasons.at(run.draw(reasons.size()));
        run.ranIds.erase(run.open.at(id).requestId.value);
    }
    if (result.kind == WorkResultKind::Done)
        run.open.erase(id);
    take(run, finished(run.state, id, result, run.now));
}

DispatchOptions randomOptions(Run& run)
{
    DispatchOptions changed = options();
    if (run.draw(3) == 0)
        changed.upstreams.erase(two);
    if (run.draw(3) == 0)
        changed.ranks.erase(normal);
    if (run.draw(3) == 0)
        changed.upstreams.at(one).leaving = true;
    return changed;
}

void stepRandom(Run& run)
{
    run.now += run.draw(8) * 1ms;
    const std::uint64_t event = run.draw(100);
    if (event < 45)
        return submitRandom(run);
    if (event < 80)
        return finishRandom(run);
    if (event < 86) {
        const std::array<std::optional<Utils::UpstreamId>, 3> places { one, two, std::nullopt };
        const Utils::ShardId shard { "range/" + std::to_string(run.draw(4)) };
        return take(run, placeShard(run.state, shard, places.at(run.draw(3)), run.now));
    }
    if (event < 91) {
        const UpstreamCondition condition = upstreamConditionNames.at(run.draw(6)).value;
        return take(run, setUpstreamCondition(run.state, run.draw(2) == 0 ? one : two, condition, run.now));
    }
    if (event < 95)
        return take(run, cancel(run.state, WorkId { run.draw(run.nextId) + 1 }, run.now));
    if (event < 96)
        return take(run, configure(run.state, randomOptions(run), run.now));
    if (event < 97)
        return take(run, released(run.state, WorkId { run.draw(run.nextId) + 1 }, run.now));
    take(run, tick(run.state, run.now));
}

void finishAll(Run& run)
{
    while (!run.running.empty() && !run.broken)
        finishRandom(run);
}

bool holds(std::uint64_t seed)
{
    Run run(seed);
    for (int step = 0; step < 600 && !run.broken; ++step)
        stepRandom(run);
    const bool drains = seed % 2 == 0;
    if (drains)
        take(run, drain(run.state, run.now));
    else {
        run.now += 5s;
        take(run, tick(run.state, run.now));
        finishAll(run);
        run.now += 5s;
        take(run, tick(run.state, run.now));
    }
    finishAll(run);
    expect(run, run.open.empty(), "a work without a final action");
    expect(run, run.state.works.empty(), "a work left behind");
    expect(run, run.state.giveUps.empty(), "a timer left behind");
    expect(run, run.state.waitingForOwner == 0, "a count left behind");
    for (const std::pair<const RequestKey, RememberedRequest>& request : run.state.memory.requests)
        expect(run, request.second.phase != RequestPhase::Active, "a request that is active without work");
    return !run.broken;
}

} // namespace

TEST_CASE("Every work gets one final action, slots are exact, and no id runs twice", "[invariants]")
{
    CHECK(rc::check("random events", [](std::uint64_t seed) { RC_ASSERT(holds(seed)); }));
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        REQUIRE(holds(seed));
    }
}
