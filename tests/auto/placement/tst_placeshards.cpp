#include <placement/placeshards.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace {

using Placement::PlacementInput;
using Placement::PlacementResult;

Utils::UpstreamId upstreamId(std::size_t number)
{
    return Utils::UpstreamId { "u" + std::to_string(number) };
}

PlacementInput makeInput(std::size_t upstreams, std::size_t shards, std::size_t zones)
{
    PlacementInput input;
    for (std::size_t number = 0; number < upstreams; ++number) {
        Declarations::Upstream upstream;
        upstream.id = upstreamId(number);
        upstream.zone = Utils::ZoneId { "z" + std::to_string(number % zones) };
        input.upstreams[upstream.id] = upstream;
    }
    for (std::size_t number = 0; number < shards; ++number)
        input.shards.insert(Utils::ShardId { "r/" + std::to_string(number) });
    return input;
}

std::map<Utils::UpstreamId, double> loadsOf(const PlacementInput& input, const PlacementResult& result)
{
    std::map<Utils::UpstreamId, double> loads;
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : result.shards) {
        const std::map<Utils::ShardId, double>::const_iterator load = input.loads.find(entry.first);
        loads[entry.second.owner] += load == input.loads.end() ? 1 : load->second;
    }
    return loads;
}

double worstLoad(const PlacementInput& input, const PlacementResult& result)
{
    double worst = 0;
    for (const std::pair<const Utils::UpstreamId, double>& entry : loadsOf(input, result))
        worst = std::max(worst, entry.second / input.upstreams.at(entry.first).slots);
    return worst;
}

std::size_t changedOwners(const PlacementInput& input, const PlacementResult& result)
{
    return static_cast<std::size_t>(std::count_if(result.shards.begin(), result.shards.end(),
        [&](const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry) {
            return input.present.at(entry.first).owner != entry.second.owner;
        }));
}

/// An input after some event, with loads, zones and leaving upstreams as chance has it.
PlacementInput randomInput()
{
    PlacementInput input = makeInput(*rc::gen::inRange<std::size_t>(1, 10),
        *rc::gen::inRange<std::size_t>(0, 60), *rc::gen::inRange<std::size_t>(1, 4));
    input.policy.moveBudget = *rc::gen::inRange(0, 11) / 10.0;
    for (const Utils::ShardId& shard : input.shards)
        input.loads[shard] = *rc::gen::inRange(0, 100);
    input.present = Placement::placeShards(input).shards;
    for (std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : input.upstreams) {
        entry.second.leaving = *rc::gen::inRange(0, 4) == 0;
        entry.second.slots = *rc::gen::inRange(1U, 5U);
    }
    for (const Utils::ShardId& shard : input.shards)
        input.loads[shard] = *rc::gen::inRange(0, 100);
    return input;
}

} // namespace

TEST_CASE("shards are placed evenly from nothing", "[placeshards]")
{
    struct Row {
        std::size_t upstreams;
        std::size_t shards;
        std::size_t zones;
        double worst;
    };
    const Row row
        = GENERATE(values<Row>({ { 1, 4, 1, 2 }, { 4, 64, 4, 8 }, { 8, 64, 3, 4 }, { 13, 130, 4, 5 } }));
    const PlacementInput input = makeInput(row.upstreams, row.shards, row.zones);
    const PlacementResult result = Placement::placeShards(input);
    REQUIRE(result.shards.size() == row.shards);
    REQUIRE(worstLoad(input, result) == Approx(row.worst));
}

TEST_CASE("an event moves what it must and no more than the budget beyond", "[placeshards]")
{
    struct Row {
        std::string name;
        std::size_t leaving;
        std::size_t added;
        double hotLoad;
        double moveBudget;
        std::size_t forced;
        std::size_t maxBalancing;
    };
    const Row row = GENERATE(values<Row>({
        { "nothing", 0, 0, 1, 0.1, 0, 0 },
        { "one leaves", 1, 0, 1, 0, 16, 0 },
        { "one is added", 0, 1, 1, 0.1, 0, 7 },
        { "one is added without a budget", 0, 1, 1, 0, 0, 0 },
        { "a shard grows hot", 0, 0, 30, 0.1, 0, 7 },
        { "a shard grows hot without a budget", 0, 0, 30, 0, 0, 0 },
    }));
    INFO(row.name);
    PlacementInput input = makeInput(4, 64, 2);
    input.present = Placement::placeShards(input).shards;
    const double before = worstLoad(input, { input.present, 0, 0 });
    input.policy.moveBudget = row.moveBudget;
    for (const Utils::ShardId& shard : input.shards)
        input.loads[shard] = 1;
    input.loads[*input.shards.begin()] = row.hotLoad;
    if (row.leaving > 0)
        input.upstreams[upstreamId(0)].leaving = true;
    if (row.added > 0)
        input.upstreams[upstreamId(9)] = { upstreamId(9), Utils::ZoneId { "z1" }, "", 0 };
    const PlacementResult result = Placement::placeShards(input);
    CHECK(result.forcedMoves == row.forced);
    CHECK(result.balancingMoves <= row.maxBalancing);
    CHECK((result.balancingMoves > 0) == (row.maxBalancing > 0));
    CHECK(changedOwners(input, result) == result.forcedMoves + result.balancingMoves);
    if (row.maxBalancing > 0 && row.hotLoad == 1)
        CHECK(worstLoad(input, result) <= before);
}

TEST_CASE("a lost owner's shards go to their standbys", "[placeshards]")
{
    PlacementInput input = makeInput(5, 50, 5);
    input.present = Placement::placeShards(input).shards;
    input.policy.moveBudget = 0;
    input.upstreams.erase(upstreamId(2));
    const PlacementResult result = Placement::placeShards(input);
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : input.present) {
        if (entry.second.owner == upstreamId(2))
            REQUIRE(result.shards.at(entry.first).owner == entry.second.standby);
    }
}

TEST_CASE("the shards of one owner spread over several standbys", "[placeshards]")
{
    const PlacementInput input = makeInput(5, 50, 5);
    const PlacementResult result = Placement::placeShards(input);
    std::set<Utils::UpstreamId> standbys;
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : result.shards) {
        if (entry.second.owner == upstreamId(0))
            standbys.insert(entry.second.standby);
    }
    REQUIRE(standbys.size() == 4);
}

TEST_CASE("the more churn weighs against load, the less moves", "[placeshards]")
{
    PlacementInput input = makeInput(4, 64, 2);
    input.present = Placement::placeShards(input).shards;
    input.upstreams[upstreamId(9)] = { upstreamId(9), Utils::ZoneId { "z1" }, "", 0 };
    input.policy.moveBudget = 1;
    std::vector<std::size_t> moves;
    for (const double churnWeight : { 0.0, 1.5, 3.0 }) {
        input.policy.churnWeight = churnWeight;
        moves.push_back(Placement::placeShards(input).balancingMoves);
    }
    CHECK(moves[0] > moves[1]);
    CHECK(moves[1] > moves[2]);
    CHECK(moves[2] == 9);
}

TEST_CASE("a hot shard that nothing can help does not keep the others uneven", "[placeshards]")
{
    PlacementInput input = makeInput(4, 64, 2);
    for (const Utils::ShardId& shard : input.shards)
        input.loads[shard] = 1;
    input.loads[*input.shards.begin()] = 100;
    input.present = Placement::placeShards(input).shards;
    input.upstreams[upstreamId(9)] = { upstreamId(9), Utils::ZoneId { "z1" }, "", 0 };
    input.policy.moveBudget = 1;
    const PlacementResult result = Placement::placeShards(input);
    CHECK(loadsOf(input, result).at(upstreamId(9)) >= 14);
    CHECK(result.balancingMoves <= 16);
    CHECK(worstLoad(input, result) == 50);
}

TEST_CASE("placement keeps its promises whatever the input", "[placeshards]")
{
    const bool holds = rc::check("owners, standbys and budget", [] {
        const PlacementInput input = randomInput();
        const PlacementResult result = Placement::placeShards(input);
        const PlacementResult again = Placement::placeShards(input);
        RC_ASSERT(result.shards == again.shards);
        const auto isUsable = [&](const Utils::UpstreamId& id) {
            return input.upstreams.contains(id) && !input.upstreams.at(id).leaving;
        };
        std::set<Utils::ZoneId> zones;
        std::size_t usable = 0;
        for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : input.upstreams) {
            if (entry.second.leaving)
                continue;
            ++usable;
            zones.insert(entry.second.zone);
        }
        RC_ASSERT(result.shards.size() == (usable > 0 ? input.shards.size() : 0));
        for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : result.shards) {
            const Agreement::ShardAssignment& shard = entry.second;
            RC_ASSERT(isUsable(shard.owner));
            RC_ASSERT(shard.owner != shard.standby);
            RC_ASSERT(shard.standby.value.empty() == (usable == 1));
            if (zones.size() > 1)
                RC_ASSERT(input.upstreams.at(shard.owner).zone != input.upstreams.at(shard.standby).zone);
        }
        const double budget = std::ceil(input.policy.moveBudget * static_cast<double>(input.shards.size()));
        RC_ASSERT(static_cast<double>(result.balancingMoves) <= budget);
        RC_ASSERT(changedOwners(input, result) <= result.forcedMoves + result.balancingMoves);
    });
    REQUIRE(holds);
}
