#include "fixture.h"

#include <catch2/catch.hpp>

using namespace Dispatch;
using namespace Fixture;
using Requests::Reason;

namespace {

/// Later than the gap of a new dispatcher.
const Utils::Instant settled = start + 601s;

Requests::Work orderAt(
    std::uint64_t id, const std::string& requestId, Utils::Instant now, unsigned attempt = 1)
{
    Requests::Work work = order(id, requestId, attempt);
    work.deadline = now + 1s;
    return work;
}

} // namespace

TEST_CASE("A repeat of a non-idempotent request is never run twice", "[atmostonce]")
{
    struct Row {
        const char* name;
        WorkResult result;
        Reason repeat;
    };
    WorkResult notStored = done();
    notStored.wholeAnswer = false;
    const std::vector<Row> rows {
        { "answer not stored", notStored, Reason::AlreadyRan },
        { "connection lost", failed(WorkResultKind::Lost), Reason::AlreadyRan },
        { "crashed", failed(WorkResultKind::Crashed), Reason::AlreadyRan },
        { "timed out", failed(WorkResultKind::TimedOut), Reason::AlreadyRan },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        DispatchState state = pool();
        REQUIRE(startedBy(submit(state, order(1, "a"), start)).size() == 1);
        CHECK(answerOf(submit(state, order(2, "a", 2), start), 2) == Reason::StillRunning);
        finished(state, { 1 }, row.result, start + 5ms);
        const std::vector<Action> repeat = submit(state, order(3, "a", 3), start + 6ms);
        CHECK(answerOf(repeat, 3) == row.repeat);
        CHECK(startedBy(repeat).empty());
        CHECK(Requests::outcomeOf(row.repeat) == Requests::Outcome::Unknown);
    }
}

TEST_CASE("A repeat gets the stored answer, and only its own caller does", "[atmostonce]")
{
    DispatchState state = pool();
    submit(state, order(1, "a"), start);
    CHECK(has(finished(state, { 1 }, done(), start + 5ms), StoreAnswer { { 1 } }));
    CHECK(has(submit(state, order(2, "a", 2), start + 6ms), ReplayAnswer { { 2 }, { "a" }, { 1 } }));
    Requests::Work stranger = order(3, "a");
    stranger.caller = "another kiosk";
    CHECK(answerOf(submit(state, stranger, start + 6ms), 3) == Reason::AlreadyRan);
    Requests::Work changed = order(4, "a");
    changed.contentDigest = 78;
    CHECK(answerOf(submit(state, changed, start + 6ms), 4) == Reason::RequestIdReused);
}

TEST_CASE("A request that was told not run may run on a repeat", "[atmostonce]")
{
    DispatchOptions noBudget = options();
    noBudget.ranks.at(urgent).retryBudgetPercent = 0;
    DispatchState state = pool(noBudget);
    submit(state, order(1, "a"), start);
    CHECK(answerOf(finished(state, { 1 }, notRun(Reason::UpstreamShedding), start + 1ms), 1)
        == Reason::UpstreamShedding);
    tick(state, start + 100ms);
    CHECK(startedBy(submit(state, order(2, "a"), start + 100ms)).size() == 1);
}

TEST_CASE("After a takeover a repeat that isn't remembered is not run", "[atmostonce]")
{
    struct Row {
        const char* name;
        Utils::Duration sinceTakeover;
        unsigned attempt;
        bool idempotent;
        Reason answer;
    };
    const Row row = GENERATE(values<Row>({
        { "repeat in the gap", 1s, 2, false, Reason::MemoryGap },
        { "repeat at the end of the gap", 599s, 5, false, Reason::MemoryGap },
        { "repeat after the gap", 600s, 2, false, Reason::None },
        { "first sending", 1s, 1, false, Reason::None },
        { "idempotent repeat", 1s, 2, true, Reason::None },
    }));
    INFO(row.name);
    DispatchState state = pool();
    const Utils::Instant takeover = start + 10'000s;
    takeOver(state, takeover);
    Requests::Work work = orderAt(1, "a", takeover + row.sinceTakeover, row.attempt);
    work.idempotent = row.idempotent;
    CHECK(answerOf(submit(state, work, takeover + row.sinceTakeover), 1) == row.answer);
}

TEST_CASE("A request is remembered for its window from its end", "[atmostonce]")
{
    DispatchState state = pool();
    submit(state, orderAt(1, "a", settled), settled);
    finished(state, { 1 }, done(), settled + 5ms);
    CHECK(answerOf(submit(state, orderAt(2, "a", settled + 600s, 2), settled + 600s), 2) == Reason::None);
    CHECK(has(tick(state, settled + 601s), DropAnswer { { 1 } }));
    CHECK(state.memory.requests.empty());
    CHECK(state.memory.storedBytes == 0);
    CHECK(startedBy(submit(state, orderAt(3, "a", settled + 601s), settled + 601s)).size() == 1);
}

TEST_CASE("A full memory refuses new requests and forgets none", "[atmostonce]")
{
    DispatchOptions small = options();
    small.caps.rememberedRequests = 3;
    DispatchState state = pool(small);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        submit(state, order(id, std::to_string(id)), start);
        finished(state, { id }, done(), start);
    }
    const std::vector<Action> refused = submit(state, order(4, "4"), start);
    CHECK(answerOf(refused, 4) == Reason::MemoryFull);
    CHECK(retryAfterOf(refused, 4) > 0ms);
    CHECK(startedBy(submit(state, order(5, "1", 2), start)).empty());
    CHECK(startedBy(submit(state, work(6), start)).size() == 1);
}

TEST_CASE("Stored answers keep to their bounds", "[atmostonce]")
{
    DispatchOptions small = options();
    small.caps.storedBytes = 250;
    small.caps.storedAnswerBytes = 120;
    DispatchState state = pool(small);
    std::vector<Action> actions;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        submit(state, order(id, std::to_string(id)), start);
        actions = finished(state, { id }, done(), start);
    }
    CHECK(has(actions, DropAnswer { { 1 } }));
    CHECK(state.memory.storedBytes == 200);
    CHECK(answerOf(submit(state, order(4, "1", 2), start), 4) == Reason::AlreadyRan);
    submit(state, order(5, "5"), start);
    WorkResult large = done();
    large.answerBytes = 121;
    CHECK_FALSE(has(finished(state, { 5 }, large, start), StoreAnswer { { 5 } }));
}

TEST_CASE("A non-idempotent request without an id is refused", "[atmostonce]")
{
    DispatchState state = pool();
    CHECK(answerOf(submit(state, order(1, ""), start), 1) == Reason::MissingIdempotencyKey);
}

TEST_CASE("A refusal never says not run of a request that may have run", "[atmostonce]")
{
    DispatchState state = pool();
    submit(state, order(1, "a"), start);
    finished(state, { 1 }, failed(WorkResultKind::Lost), start + 1ms);
    placeShard(state, shardOne, std::nullopt, start + 1ms);
    drain(state, start + 2ms);
    Requests::Work repeat = order(2, "a", 2);
    repeat.deadline = start;
    CHECK(answerOf(submit(state, repeat, start + 5s), 2) == Reason::AlreadyRan);
}
