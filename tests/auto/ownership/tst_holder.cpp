#include <ownership/holder.h>

#include <catch2/catch.hpp>

#include <string>

namespace {

using Ownership::HolderVerdict;

const Utils::ShardId shard { "orders/0" };
constexpr std::int64_t now = 1000;

/// Incarnation 7, fenced at level 5.1, which holds the shard until 1500 by the grant with sequence 3.
Ownership::HolderState makeHolder() { return { 7, { 5, 1 }, { 5, 1 }, 3, 1500, { shard } }; }

struct GrantRow {
    std::string name;
    Ownership::GrantRequest request;
    HolderVerdict verdict;
};

} // namespace

TEST_CASE("a grant is validated by incarnation, level, sequence and expiry", "[holder]")
{
    const GrantRow row = GENERATE(values<GrantRow>({
        { "renewal", { { 5, 1 }, 7, 4, 1600, { shard } }, HolderVerdict::Accepted },
        { "successor", { { 5, 2 }, 7, 1, 1600, { shard } }, HolderVerdict::Accepted },
        { "repeat", { { 5, 1 }, 7, 3, 1600, { shard } }, HolderVerdict::StaleSequence },
        { "old record", { { 4, 2 }, 7, 9, 1600, { shard } }, HolderVerdict::StaleLevel },
        { "earlier start", { { 5, 1 }, 6, 4, 1600, { shard } }, HolderVerdict::WrongIncarnation },
        { "late", { { 5, 1 }, 7, 4, now, { shard } }, HolderVerdict::AlreadyExpired },
    }));
    INFO(row.name);
    Ownership::HolderState state = makeHolder();
    const Ownership::HolderState before = state;
    CHECK(Ownership::applyGrant(state, row.request, now).verdict == row.verdict);
    if (row.verdict != HolderVerdict::Accepted)
        CHECK(state == before);
}

TEST_CASE("a fence rejects lower levels and leaves the lease valid", "[holder]")
{
    Ownership::HolderState state = makeHolder();
    const Ownership::HolderResponse response = Ownership::applyFence(state, { { 6, 1 }, 0 }, now);
    CHECK(response.verdict == HolderVerdict::Accepted);
    CHECK(response.heldUntil == 1500);
    CHECK(Ownership::checkRequest(state, shard, { 5, 1 }, now) == HolderVerdict::StaleLevel);
    CHECK(Ownership::checkRequest(state, shard, { 6, 1 }, now) == HolderVerdict::Accepted);
    CHECK(Ownership::checkRequest(state, shard, { 6, 1 }, 1500) == HolderVerdict::AlreadyExpired);
    CHECK(Ownership::checkRequest(state, { "orders/1" }, { 6, 1 }, now) == HolderVerdict::NotHeld);
}
