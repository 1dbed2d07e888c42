#include "fixture.h"

#include <catch2/catch.hpp>

using namespace Dispatch;
using namespace Fixture;
using Requests::Reason;

namespace {

const std::uint64_t poisonDigest = 666;

Requests::Work poisonous(std::uint64_t id, Utils::Instant now)
{
    Requests::Work poison = work(id);
    poison.contentDigest = poisonDigest;
    poison.deadline = now + 1s;
    return poison;
}

/// Crashes the upstream once with the poison and a neighbour, and once with the poison alone.
void crashTwice(DispatchState& state)
{
    submit(state, poisonous(1, start), start);
    submit(state, work(2), start);
    finished(state, { 1 }, failed(WorkResultKind::Crashed), start + 1ms);
    finished(state, { 2 }, failed(WorkResultKind::Crashed), start + 1ms);
    submit(state, poisonous(3, start), start + 2ms);
    finished(state, { 3 }, failed(WorkResultKind::Crashed), start + 3ms);
}

} // namespace

TEST_CASE("A request that crashed its upstream twice is held back under any id", "[poison]")
{
    DispatchState state = pool();
    crashTwice(state);
    Requests::Work again = poisonous(4, start);
    again.requestId = { "another id" };
    const std::vector<Action> actions = submit(state, again, start + 4ms);
    CHECK(answerOf(actions, 4) == Reason::PoisonHeld);
    CHECK(retryAfterOf(actions, 4) > 599s);
    CHECK(retryAfterOf(actions, 4) <= 600s);
}

TEST_CASE("It is held back on the shard's next owner too, and let go after the hold", "[poison]")
{
    DispatchState state = pool();
    crashTwice(state);
    placeShard(state, shardOne, two, start + 4ms);
    CHECK(answerOf(submit(state, poisonous(4, start), start + 5ms), 4) == Reason::PoisonHeld);
    const Utils::Instant later = start + 601s;
    tick(state, later);
    CHECK(state.poison.records.empty());
    CHECK(startedBy(submit(state, poisonous(5, later), later)).size() == 1);
}

TEST_CASE("A neighbour of poison is not held back, and cleared by a clean run", "[poison]")
{
    DispatchState state = pool();
    crashTwice(state);
    Requests::Work neighbour = work(4);
    neighbour.contentDigest = work(2).contentDigest;
    CHECK(startedBy(submit(state, neighbour, start + 4ms)) == std::vector<std::uint64_t> { 4 });
    CHECK(submit(state, work(5), start + 4ms).empty());
    CHECK(startedBy(finished(state, { 4 }, done(), start + 9ms)) == std::vector<std::uint64_t> { 5 });
    neighbour.id = { 6 };
    CHECK(startedBy(submit(state, neighbour, start + 9ms)) == std::vector<std::uint64_t> { 6 });
}

TEST_CASE("A suspect waits until it can run alone", "[poison]")
{
    DispatchState state = pool();
    submit(state, poisonous(1, start), start);
    finished(state, { 1 }, failed(WorkResultKind::Crashed), start + 1ms);
    submit(state, work(2), start + 1ms);
    CHECK(submit(state, poisonous(3, start), start + 1ms).empty());
    CHECK(submit(state, work(4), start + 1ms).empty());
    CHECK(startedBy(finished(state, { 2 }, done(), start + 6ms)) == std::vector<std::uint64_t> { 3 });
    CHECK(startedBy(finished(state, { 3 }, done(), start + 11ms)) == std::vector<std::uint64_t> { 4 });
}

TEST_CASE("Two crashes beside others hold nobody back: only a run alone convicts", "[poison]")
{
    const unsigned crashes = GENERATE(1U, 2U);
    DispatchOptions options = Fixture::options();
    options.idempotency.poisonCrashes = crashes;
    DispatchState state = pool(options);
    submit(state, poisonous(1, start), start);
    submit(state, work(2), start);
    finished(state, { 2 }, failed(WorkResultKind::Crashed), start + 1ms);
    finished(state, { 1 }, failed(WorkResultKind::Crashed), start + 1ms);
    Requests::Work neighbour = work(3);
    neighbour.contentDigest = work(2).contentDigest;
    CHECK(answerOf(submit(state, neighbour, start + 2ms), 3) == Reason::None);
}

TEST_CASE("The table of crashes is bounded", "[poison]")
{
    DispatchOptions small = options();
    small.caps.poisonRecords = 10;
    DispatchState state = pool(small);
    for (std::uint64_t id = 1; id <= 50; ++id) {
        submit(state, work(id), start + id * 1ms);
        finished(state, { id }, failed(WorkResultKind::Crashed), start + id * 1ms);
        CHECK(state.poison.records.size() <= 10);
        CHECK(state.poison.records.size() == state.poison.expiries.size());
    }
}

TEST_CASE("A suspect that can't run alone soon is answered, and holds nobody up again at once", "[poison]")
{
    DispatchState state = pool();
    submit(state, poisonous(1, start), start);
    finished(state, { 1 }, failed(WorkResultKind::Crashed), start + 1ms);
    submit(state, work(2, bulk), start + 1ms);
    submit(state, poisonous(3, start), start + 1ms);
    submit(state, work(4), start + 2ms);
    const Utils::Instant due = nextTick(state);
    CHECK(due == start + 101ms);
    const std::vector<Action> actions = tick(state, due);
    CHECK(answerOf(actions, 3) == Reason::PoisonHeld);
    CHECK(retryAfterOf(actions, 3) >= 1s);
    CHECK(startedBy(actions) == std::vector<std::uint64_t> { 4 });
    finished(state, { 4 }, done(), due + 1ms);
    CHECK(answerOf(submit(state, poisonous(5, due), due + 2ms), 5) == Reason::PoisonHeld);
}
