#include "fixture.h"

#include <catch2/catch.hpp>

using namespace Dispatch;
using namespace Fixture;
using Requests::Reason;

TEST_CASE("Work waits a bounded time for an owner and is told when to come back", "[placement]")
{
    struct Row {
        const char* name;
        Utils::Duration timeLeft;
        Utils::Duration waits;
    };
    const Row row = GENERATE(values<Row>({
        { "half of a short time", 1s, 500ms },
        { "the bound of a long time", 60s, 2s },
    }));
    INFO(row.name);
    DispatchState state = pool();
    placeShard(state, shardOne, std::nullopt, start);
    Requests::Work waiting = work(1);
    waiting.deadline = start + row.timeLeft;
    REQUIRE(submit(state, waiting, start).empty());
    CHECK(nextTick(state) == start + row.waits);
    const std::vector<Action> actions = tick(state, start + row.waits);
    CHECK(answerOf(actions, 1) == Reason::NoOwner);
    CHECK(retryAfterOf(actions, 1) > 0ms);
}

TEST_CASE("Once a shard has been without an owner for long, work is answered at once", "[placement]")
{
    DispatchState state = pool();
    placeShard(state, shardOne, std::nullopt, start);
    Requests::Work late = work(1);
    late.deadline = start + 60s;
    CHECK(answerOf(submit(state, late, start + 2s), 1) == Reason::NoOwner);
}

TEST_CASE("Waiting and queued work follows its shard to the new owner in order", "[placement]")
{
    DispatchState state = pool();
    for (std::uint64_t id = 1; id <= 5; ++id)
        submit(state, work(id), start);
    placeShard(state, shardOne, std::nullopt, start + 1ms);
    submit(state, work(6), start + 1ms);
    CHECK(state.waitingForOwner == 4);
    finished(state, { 1 }, done(), start + 2ms);
    finished(state, { 2 }, done(), start + 2ms);
    CHECK(startedBy(placeShard(state, shardOne, two, start + 2ms)) == std::vector<std::uint64_t> { 3, 4 });
    CHECK(state.waitingForOwner == 0);
    CHECK(state.upstreams.at(two).lanes.at(0).size == 2);
}

TEST_CASE("An upstream that takes no new work gets none, and its queue is answered in time", "[placement]")
{
    struct Row {
        UpstreamCondition condition;
        Reason reason;
    };
    const Row row = GENERATE(values<Row>({
        { UpstreamCondition::Draining, Reason::UpstreamDraining },
        { UpstreamCondition::Unreachable, Reason::UpstreamUnreachable },
    }));
    INFO(Utils::enumName(upstreamConditionNames, row.condition));
    DispatchState state = pool();
    setUpstreamCondition(state, one, row.condition, start);
    CHECK(submit(state, work(1), start).empty());
    CHECK(answerOf(tick(state, start + 500ms), 1) == row.reason);
    Requests::Work late = work(2);
    late.deadline = start + 60s;
    CHECK(answerOf(submit(state, late, start + 2s), 2) == row.reason);
}

TEST_CASE("A leaving upstream serves while its shards move, and nothing after that", "[placement]")
{
    DispatchState state = pool();
    setUpstreamCondition(state, one, UpstreamCondition::Leaving, start);
    CHECK(startedBy(submit(state, work(1), start + 1ms)).size() == 1);
    Requests::Work late = work(2);
    late.deadline = start + 60s;
    CHECK(startedBy(submit(state, late, start + 2s)).empty());
    CHECK(startedBy(placeShard(state, shardOne, two, start + 2100ms)).empty());
    CHECK(startedBy(finished(state, { 1 }, done(), start + 2200ms)) == std::vector<std::uint64_t> { 2 });
}

TEST_CASE("An upstream that is usable again takes its queue up", "[placement]")
{
    DispatchState state = pool();
    setUpstreamCondition(state, one, UpstreamCondition::Unreachable, start);
    submit(state, work(1), start);
    CHECK(startedBy(setUpstreamCondition(state, one, UpstreamCondition::Usable, start + 10ms)).size() == 1);
}

TEST_CASE("A new configuration keeps what still fits", "[placement]")
{
    DispatchState state = pool();
    for (std::uint64_t id = 1; id <= 3; ++id)
        submit(state, work(id), start);
    submit(state, work(4, normal), start);
    submit(state, work(5, bulk), start);
    DispatchOptions changed = options();
    changed.ranks.erase(normal);
    changed.upstreams.at(one).slots = 3;
    const std::vector<Action> actions = configure(state, changed, start + 1ms);
    CHECK(answerOf(actions, 4) == Reason::RankNotAllowed);
    CHECK(startedBy(actions) == std::vector<std::uint64_t> { 3 });
    CHECK(state.works.contains({ 5 }));
    CHECK(state.upstreams.at(one).lanes.size() == 2);
}

TEST_CASE("Work for an upstream that is taken out of the configuration waits for a new owner", "[placement]")
{
    DispatchState state = pool();
    for (std::uint64_t id = 1; id <= 3; ++id)
        submit(state, work(id), start);
    DispatchOptions changed = options();
    changed.upstreams.erase(one);
    CHECK(configure(state, changed, start + 1ms).empty());
    CHECK(state.waitingForOwner == 1);
    finished(state, { 1 }, done(), start + 5ms);
    finished(state, { 2 }, done(), start + 5ms);
    CHECK_FALSE(state.upstreams.contains(one));
    CHECK(startedBy(placeShard(state, shardOne, two, start + 6ms)) == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("The new owner gets no work of a shard while the former one still runs some of it", "[placement]")
{
    struct Row {
        const char* name;
        bool ends;
        Utils::Duration waits;
    };
    const Row row = GENERATE(values<Row>({
        { "until it has ended", true, 20ms },
        { "or for a bounded time", false, 500ms },
    }));
    INFO(row.name);
    DispatchState state = pool();
    submit(state, work(1), start);
    CHECK(startedBy(placeShard(state, shardOne, two, start + 1ms)).empty());
    CHECK(startedBy(submit(state, work(2), start + 2ms)).empty());
    CHECK(nextTick(state) <= start + 501ms);
    const Utils::Instant then = start + 1ms + row.waits;
    const std::vector<Action> actions = row.ends ? finished(state, { 1 }, done(), then) : tick(state, then);
    CHECK(startedBy(actions) == std::vector<std::uint64_t> { 2 });
    CHECK(state.upstreams.at(two).running.contains({ 2 }));
}
