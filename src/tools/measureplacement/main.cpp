#include "event.h"
#include "methods.h"
#include "workload.h"

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <iostream>

namespace {

using namespace MeasurePlacement;

constexpr std::array<PoolSize, 4> poolSizes { {
    { 8, 64, 2, 100000 },
    { 13, 128, 2, 100000 },
    { 17, 256, 4, 100000 },
    { 100, 1600, 3, 100000 },
} };

constexpr std::size_t hotKeys = 77;

/// Worst of the upstreams' sums of \a amounts over their mean.
double spreadOf(const Placement::PlacementInput& input, const Placement::PlacementResult& result,
    const std::map<Utils::ShardId, double>& amounts)
{
    std::map<Utils::UpstreamId, double> sums;
    double total = 0;
    std::size_t usable = 0;
    for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : input.upstreams)
        usable += entry.second.leaving ? 0 : 1;
    for (const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry : result.shards) {
        const std::map<Utils::ShardId, double>::const_iterator amount = amounts.find(entry.first);
        if (amount == amounts.end())
            continue;
        sums[entry.second.owner] += amount->second;
        total += amount->second;
    }
    double worst = 0;
    for (const std::pair<const Utils::UpstreamId, double>& entry : sums)
        worst = std::max(worst, entry.second);
    return worst * static_cast<double>(usable) / total;
}

std::size_t changedOwners(const std::map<Utils::ShardId, Agreement::ShardAssignment>& before,
    const std::map<Utils::ShardId, Agreement::ShardAssignment>& after)
{
    return static_cast<std::size_t>(std::count_if(after.begin(), after.end(),
        [&before](const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry) {
            return before.at(entry.first).owner != entry.second.owner;
        }));
}

boost::json::object measure(Method method, Event event, const PoolSize& size, std::uint64_t seed,
    const Declarations::PlacementPolicy& policy)
{
    Workload workload = makeWorkload(size, seed);
    Placement::PlacementInput input = makePool(size);
    input.policy = policy;
    input.loads = shardLoads(workload);
    input.present = placeBy(method, input).shards;
    std::mt19937_64 random(seed);
    if (event == Event::HotKeys) {
        moveHotKeys(workload, hotKeys, seed);
        input.loads = shardLoads(workload);
    }
    applyEvent(event, input, random);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const Placement::PlacementResult result = placeBy(method, input);
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - start;
    const std::size_t forced
        = static_cast<std::size_t>(std::count_if(input.present.begin(), input.present.end(),
            [&input](const std::pair<const Utils::ShardId, Agreement::ShardAssignment>& entry) {
                const std::map<Utils::UpstreamId, Declarations::Upstream>::const_iterator owner
                    = input.upstreams.find(entry.second.owner);
                return owner == input.upstreams.end() || owner->second.leaving;
            }));
    boost::json::object line;
    line["method"] = Utils::enumName(methodNames, method);
    line["event"] = Utils::enumName(eventNames, event);
    line["upstreams"] = size.upstreams;
    line["shards"] = size.shards;
    line["seed"] = seed;
    line["key_spread"] = spreadOf(input, result, shardKeys(workload));
    line["load_spread"] = spreadOf(input, result, input.loads);
    line["load_spread_before"] = spreadOf(input, { input.present, 0, 0 }, input.loads);
    line["ownership_moves"] = changedOwners(input.present, result.shards);
    line["forced_moves"] = forced;
    line["compute_ms"] = took.count();
    return line;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures how evenly shards are placed and how often they move.", ' ', "0.1");
    TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "seeds to run, from 1", false, 5, "count", line);
    TCLAP::ValueArg<double> churn(
        "", "churn-weight", "weight of a change of owner", false, 1, "weight", line);
    TCLAP::ValueArg<double> budget(
        "", "move-budget", "part of the shards moved a round", false, 0.1, "part", line);
    line.parse(argc, argv);

    const Declarations::PlacementPolicy policy { 1, churn.getValue(), budget.getValue() };
    for (const PoolSize& size : poolSizes) {
        for (std::uint64_t seed = 1; seed <= seeds.getValue(); ++seed) {
            for (const Utils::EnumName<Method>& method : methodNames) {
                for (const Utils::EnumName<Event>& event : eventNames)
                    std::cout << measure(method.value, event.value, size, seed, policy) << "\n";
            }
        }
    }
    return 0;
}
