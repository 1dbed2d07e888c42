#include <measureservice/pool.h>
#include <measureservice/simulation.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Measure;

TEST_CASE("In a flood of ten times the capacity every rank keeps its floor", "[floors]")
{
    const std::string flood = GENERATE("flood_least_urgent", "flood_most_urgent");
    const std::uint64_t seed = GENERATE(range(1, 4));
    INFO(flood << " seed " << seed);
    const std::vector<Scenario> all = scenarios();
    const Scenario scenario = *std::find_if(
        all.begin(), all.end(), [&flood](const Scenario& candidate) { return candidate.name == flood; });
    const ServiceReport report = simulate(scenario, Routing::Dispatcher, seed);
    for (const std::pair<const Utils::RankId, Declarations::Rank>& rank : poolOptions().ranks) {
        INFO(rank.first);
        CHECK(slotShare(report, rank.first) >= rank.second.floorShare);
    }
}
