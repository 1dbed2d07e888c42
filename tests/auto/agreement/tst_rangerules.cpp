#include "agreementfixture.h"

#include <agreement/assignmentrules.h>
#include <agreement/fold.h>
#include <agreement/rangerules.h>

#include <catch2/catch.hpp>

#include <sstream>

namespace {

using namespace AgreementFixture;
using Agreement::LogState;
using Agreement::Verdict;

/// Reads lines of "range service pool from to shards", "." standing for the end of all keys; pools p and q.
std::optional<Declarations::Configuration> parseRanges(std::string_view text)
{
    Declarations::Configuration configuration = *parseShort("p:a,b;q:a,b");
    configuration.keyRanges.clear();
    std::istringstream words { std::string(text) };
    Declarations::KeyRange range;
    std::string end;
    while (words >> range.id.value >> range.service.value >> range.pool.value >> range.from >> end
        >> range.shards) {
        range.to = end == "." ? std::nullopt : std::optional<std::string>(end);
        configuration.keyRanges[range.id] = range;
    }
    return configuration;
}

/// Assigns \a pool all that it can have; the verdict.
Verdict assign(LogState& state, const std::string& pool, std::uint64_t sequence)
{
    const std::map<Utils::PoolId, Agreement::PoolAssignment>::const_iterator present
        = state.agreed.assignments.find(Utils::PoolId { pool });
    Agreement::AssignmentRecord record = assignment(vmHeader("vm-1", sequence), pool,
        present == state.agreed.assignments.end() ? 0 : present->second.token, "vm-1");
    record.shards.clear();
    for (const Utils::ShardId& shard : Agreement::assignableShards(state, record.pool))
        record.shards[shard] = { Utils::UpstreamId { "a" }, Utils::UpstreamId { "b" } };
    return Agreement::applyRecord(state, state.agreed.applied + 1, record, parseRanges);
}

Verdict settle(LogState& state, const std::string& pool, std::uint64_t sequence)
{
    const Utils::Offset token = state.agreed.assignments.at(Utils::PoolId { pool }).token;
    return Agreement::applyRecord(state, state.agreed.applied + 1,
        settled(vmHeader("vm-1", sequence), pool, token, "vm-1"), parseRanges);
}

Verdict publish(LogState& state, const std::string& text, std::uint64_t sequence)
{
    return Agreement::applyRecord(state, state.agreed.applied + 1,
        configuration(operatorHeader("ann", sequence), state.agreed.configurationOffset, text), parseRanges);
}

} // namespace

TEST_CASE("keys that may still be served elsewhere are not given out", "[rangerules]")
{
    struct Row {
        std::string name;
        std::string next;
        std::size_t shardsOfP;
        std::size_t shardsOfQ;
    };
    const Row row = GENERATE(values<Row>({
        { "no change", "r s p a . 2", 2, 0 },
        { "another range of other keys", "r s p a . 2 n t q a . 2", 2, 2 },
        { "moved to another pool", "r s q a . 2", 0, 0 },
        { "renamed in the same pool", "n s p a . 2", 0, 0 },
        { "renamed and moved", "n s q a . 2", 0, 0 },
        { "split within the pool", "n s p a m 2 o s p m . 2", 0, 0 },
        { "split, one part to another pool", "n s p a m 2 o s q m . 2", 0, 0 },
        { "replaced by a range of another service", "n t q a . 2", 0, 2 },
    }));
    INFO(row.name);
    LogState state;
    REQUIRE(publish(state, "r s p a . 2", 1) == Verdict::Accepted);
    REQUIRE(assign(state, "p", 1) == Verdict::Accepted);
    REQUIRE(publish(state, row.next, 2) == Verdict::Accepted);
    CHECK(Agreement::assignableShards(state, Utils::PoolId { "p" }).size() == row.shardsOfP);
    CHECK(Agreement::assignableShards(state, Utils::PoolId { "q" }).size() == row.shardsOfQ);
}

TEST_CASE("a range moves to another pool once the old one has settled", "[rangerules]")
{
    LogState state;
    REQUIRE(publish(state, "r s p a . 2 n t p a . 1", 1) == Verdict::Accepted);
    REQUIRE(assign(state, "p", 1) == Verdict::Accepted);
    REQUIRE(publish(state, "r s q a . 2 n t p a . 1", 2) == Verdict::Accepted);
    REQUIRE_FALSE(Agreement::assignmentFits(state, Utils::PoolId { "p" }));
    REQUIRE(assign(state, "p", 2) == Verdict::Accepted);
    REQUIRE(Agreement::assignmentFits(state, Utils::PoolId { "p" }));
    REQUIRE(Agreement::assignableShards(state, Utils::PoolId { "q" }).empty());
    REQUIRE(settle(state, "p", 3) == Verdict::Accepted);
    REQUIRE(Agreement::assignableShards(state, Utils::PoolId { "q" }).size() == 2);
    REQUIRE(assign(state, "q", 4) == Verdict::Accepted);
}

TEST_CASE("a range in use keeps its keys, also after it is no longer declared", "[rangerules]")
{
    const std::string next = GENERATE("r s p a . 3", "r s p a m 2", "r s p b . 2", "r t p a . 2");
    const bool isDroppedBetween = GENERATE(false, true);
    INFO(next);
    LogState state;
    REQUIRE(publish(state, "r s p a . 2", 1) == Verdict::Accepted);
    REQUIRE(assign(state, "p", 1) == Verdict::Accepted);
    if (isDroppedBetween)
        REQUIRE(publish(state, "n t p a . 2", 2) == Verdict::Accepted);
    REQUIRE(publish(state, next, 3) == Verdict::RangeInUse);
    REQUIRE(publish(state, "n t p a . 2", 4) == Verdict::Accepted);
    REQUIRE(state.agreed.retiredRanges.size() == 1);
    REQUIRE(assign(state, "p", 2) == Verdict::Accepted);
    REQUIRE(settle(state, "p", 3) == Verdict::Accepted);
    REQUIRE(state.agreed.retiredRanges.empty());
    REQUIRE(publish(state, next, 5) == Verdict::Accepted);
}

TEST_CASE("a name of a shard gives its range", "[rangerules]")
{
    REQUIRE(Agreement::rangeOfShard(Utils::ShardId { "orders/west/12" }).value == "orders/west");
}
