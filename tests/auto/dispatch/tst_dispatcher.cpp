#include "fixture.h"

#include <catch2/catch.hpp>

using namespace Dispatch;
using namespace Fixture;
using Requests::Reason;

namespace {

/// Runs the upstream's queue empty, each work taking \a service; the ids in the order of their starts.
std::vector<std::uint64_t> runAll(
    DispatchState& state, std::vector<std::uint64_t> running, Utils::Duration service)
{
    std::vector<std::uint64_t> order = running;
    Utils::Instant now = state.now;
    while (!running.empty()) {
        now += service / 2;
        const std::vector<Action> actions = finished(state, { running.front() }, done(service), now);
        running.erase(running.begin());
        for (const std::uint64_t id : startedBy(actions)) {
            running.push_back(id);
            order.push_back(id);
        }
    }
    return order;
}

} // namespace

TEST_CASE("An upstream runs as many works as it has slots", "[dispatcher]")
{
    DispatchState state = pool();
    CHECK(startedBy(submit(state, work(1), start)) == std::vector<std::uint64_t> { 1 });
    CHECK(startedBy(submit(state, work(2), start)) == std::vector<std::uint64_t> { 2 });
    CHECK(submit(state, work(3), start).empty());
    CHECK(startedBy(finished(state, { 2 }, done(), start + 5ms)) == std::vector<std::uint64_t> { 3 });
}

TEST_CASE("The most urgent work goes first", "[dispatcher]")
{
    DispatchOptions plain = options();
    for (std::pair<const Utils::RankId, Declarations::Rank>& rank : plain.ranks)
        rank.second.floorShare = 0;
    DispatchState state = pool(plain);
    submit(state, work(1, bulk), start);
    submit(state, work(2, bulk), start);
    submit(state, work(3, bulk), start);
    submit(state, work(4, normal), start);
    submit(state, work(5, urgent), start);
    CHECK(runAll(state, { 1, 2 }, 5ms) == std::vector<std::uint64_t> { 1, 2, 5, 4, 3 });
}

TEST_CASE("Callers of a rank take turns", "[dispatcher]")
{
    DispatchState state = pool();
    submit(state, work(1), start);
    submit(state, work(2), start);
    for (std::uint64_t id = 3; id < 9; ++id)
        submit(state, work(id), start);
    Requests::Work other = work(9);
    other.caller = "other kiosk";
    submit(state, other, start);
    const std::vector<std::uint64_t> order = runAll(state, { 1, 2 }, 5ms);
    const std::ptrdiff_t place = std::find(order.begin(), order.end(), 9) - order.begin();
    CHECK(place <= 3);
}

TEST_CASE("A work that can't meet its deadline is refused on arrival", "[dispatcher]")
{
    DispatchState state = pool();
    for (std::uint64_t id = 1; id <= 20; ++id)
        submit(state, work(id), start);
    Requests::Work late = work(21);
    late.deadline = start + 60ms;
    const std::vector<Action> actions = submit(state, late, start);
    CHECK(answerOf(actions, 21) == Reason::DeadlineTooShort);
    CHECK(retryAfterOf(actions, 21) >= 40ms);
    CHECK(retryAfterOf(actions, 21) <= 1s);
}

TEST_CASE("Refused callers are told to come back one after another", "[dispatcher]")
{
    DispatchState state = pool();
    for (std::uint64_t id = 1; id <= 20; ++id)
        submit(state, work(id), start);
    Utils::Duration first {};
    Utils::Duration last {};
    for (std::uint64_t id = 21; id < 221; ++id) {
        Requests::Work late = work(id);
        late.deadline = start + 60ms;
        last = retryAfterOf(submit(state, late, start), id);
        if (id == 21)
            first = last;
    }
    CHECK(last >= first + 500ms);
}

TEST_CASE("A work that has waited half of its time is answered then", "[dispatcher]")
{
    DispatchState state = pool();
    submit(state, work(1), start);
    submit(state, work(2), start);
    Requests::Work late = work(3);
    late.deadline = start + 100ms;
    REQUIRE(submit(state, late, start).empty());
    const Utils::Instant due = nextTick(state);
    CHECK(due <= start + 50ms);
    CHECK(answerOf(tick(state, due), 3) == Reason::DeadlinePassed);
}

TEST_CASE("Shutting down answers queued work at once and lets running work finish", "[dispatcher]")
{
    DispatchState state = pool();
    submit(state, work(1), start);
    submit(state, work(2), start);
    submit(state, work(3), start);
    const std::vector<Action> actions = drain(state, start + 1ms);
    CHECK(actions.size() == 1);
    CHECK(answerOf(actions, 3) == Reason::ShuttingDown);
    CHECK(answerOf(submit(state, work(4), start + 2ms), 4) == Reason::ShuttingDown);
    CHECK(finished(state, { 1 }, done(), start + 5ms).empty());
    CHECK(state.works.size() == 1);
}

TEST_CASE("A caller that left costs no more than it must", "[dispatcher]")
{
    DispatchState state = pool();
    submit(state, work(1), start);
    submit(state, order(2, "a"), start);
    submit(state, work(3), start);
    CHECK(answerOf(cancel(state, { 3 }, start), 3) == Reason::Cancelled);
    CHECK(has(cancel(state, { 1 }, start), CancelWork { { 1 }, one }));
    CHECK(cancel(state, { 2 }, start).empty());
}

TEST_CASE("A shedding upstream is left alone, then tried with one work", "[dispatcher]")
{
    DispatchState state = pool();
    submit(state, work(1), start);
    submit(state, work(2), start);
    submit(state, work(3), start);
    CHECK(startedBy(finished(state, { 1 }, notRun(Reason::UpstreamShedding, 100ms), start + 1ms)).empty());
    CHECK(startedBy(finished(state, { 2 }, notRun(Reason::UpstreamShedding, 100ms), start + 1ms)).empty());
    CHECK(nextTick(state) == start + 101ms);
    CHECK(tick(state, start + 100ms).empty());
    const std::vector<std::uint64_t> probe = startedBy(tick(state, start + 101ms));
    REQUIRE(probe.size() == 1);
    const std::vector<std::uint64_t> next
        = startedBy(finished(state, { probe.front() }, done(), start + 106ms));
    REQUIRE(next.size() == 1);
    CHECK(startedBy(finished(state, { next.front() }, done(), start + 111ms)).size() == 1);
}

TEST_CASE("Completions are believed over reports of shedding", "[dispatcher]")
{
    DispatchState state = pool();
    submit(state, work(1), start);
    finished(state, { 1 }, done(), start + 5ms);
    setUpstreamCondition(state, one, UpstreamCondition::Shedding, start + 6ms, 500ms);
    CHECK(startedBy(submit(state, work(2), start + 7ms)).size() == 1);
}

TEST_CASE("Work that an upstream refuses goes back within the budget only", "[dispatcher]")
{
    DispatchState state = pool();
    unsigned restarted = 0;
    for (std::uint64_t id = 1; id <= 100; ++id) {
        const Utils::Instant now = start + id * 1ms;
        submit(state, work(id), now);
        finished(state, { id }, notRun(Reason::StaleToken), now);
        restarted += state.works.contains({ id }) ? 1 : 0;
        cancel(state, { id }, now);
        setUpstreamCondition(state, one, UpstreamCondition::Unreachable, now);
        setUpstreamCondition(state, one, UpstreamCondition::Usable, now);
    }
    CHECK(restarted > 0);
    CHECK(restarted <= 20);
}

TEST_CASE("A cold upstream gets one work at a time until some are completed", "[dispatcher]")
{
    DispatchState state = pool();
    setUpstreamCondition(state, one, UpstreamCondition::Cold, start);
    for (std::uint64_t id = 1; id <= 8; ++id)
        submit(state, work(id), start);
    std::uint64_t running = 1;
    for (int completion = 1; completion < 4; ++completion) {
        const std::vector<std::uint64_t> started
            = startedBy(finished(state, { running }, done(), start + completion * 5ms));
        REQUIRE(started.size() == 1);
        running = started.front();
    }
    CHECK(startedBy(finished(state, { running }, done(), start + 20ms)).size() == 2);
}

TEST_CASE("The slot of a lost work counts as taken until the upstream has let go of it", "[dispatcher]")
{
    const bool confirmed = GENERATE(true, false);
    DispatchState state = pool();
    submit(state, work(1), start);
    submit(state, work(2), start);
    submit(state, work(3), start);
    CHECK(startedBy(finished(state, { 1 }, failed(WorkResultKind::Lost), start + 1ms)).empty());
    if (confirmed) {
        CHECK(startedBy(released(state, { 1 }, start + 2ms)).size() == 1);
        return;
    }
    const Utils::Instant due = nextTick(state);
    CHECK(due == start + 1ms + state.options.caps.abandonedSlotHold);
    CHECK(startedBy(tick(state, due)).size() == 1);
}

TEST_CASE("A caller that floods doesn't push others out of a full queue", "[dispatcher]")
{
    DispatchOptions small = options();
    small.caps.queuedPerRank = 10;
    small.ranks.at(urgent).target = 0ms;
    DispatchState state = pool(small);
    for (std::uint64_t id = 1; id <= 40; ++id)
        submit(state, work(id), start);
    Requests::Work other = work(41);
    other.caller = "other kiosk";
    const std::vector<Action> actions = submit(state, other, start);
    CHECK(answerOf(actions, 41) == Reason::None);
    CHECK(state.works.contains({ 41 }));
    CHECK(state.upstreams.at(one).lanes.at(0).size == 10);
}

TEST_CASE("A rank with a floor is let in behind any number of more urgent works", "[dispatcher]")
{
    DispatchState state = pool();
    for (std::uint64_t id = 1; id <= 200; ++id)
        submit(state, work(id), start);
    Requests::Work floored = work(201, normal);
    floored.deadline = start + 100ms;
    CHECK(answerOf(submit(state, floored, start), 201) == Reason::None);
}

TEST_CASE("An upstream that sheds while it runs others is held to as many as it runs", "[dispatcher]")
{
    DispatchState state = pool();
    std::uint64_t next = 1;
    while (next <= 40)
        submit(state, work(next++), start);
    CHECK(startedBy(finished(state, { 2 }, notRun(Reason::UpstreamShedding, 50ms), start + 1ms)).empty());
    std::vector<std::uint64_t> running { 1 };
    unsigned completions = 0;
    Utils::Instant now = start + 1ms;
    while (running.size() == 1 && completions < 30) {
        now += 5ms;
        running = startedBy(finished(state, { running.front() }, done(), now));
        ++completions;
    }
    CHECK(completions == 16);
    CHECK(running.size() == 2);
}

TEST_CASE("Callers are not told to stay away longer than ten of their time limits", "[dispatcher]")
{
    DispatchOptions limited = options();
    limited.ranks.at(urgent).defaultTimeout = 100ms;
    DispatchState state = pool(limited);
    Utils::Duration longest {};
    for (std::uint64_t id = 1; id <= 2000; ++id) {
        Requests::Work flood = work(id);
        flood.deadline = start + 100ms;
        longest = std::max(longest, retryAfterOf(submit(state, flood, start), id));
    }
    CHECK(longest >= 900ms);
    CHECK(longest <= 1250ms);
    Requests::Work later = work(2001);
    later.deadline = start + 330ms;
    CHECK(retryAfterOf(submit(state, later, start + 300ms), 2001) <= 100ms);
}
