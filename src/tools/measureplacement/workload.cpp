#include "workload.h"

#include <utils/hash.h>

#include <algorithm>
#include <random>
#include <string>

namespace MeasurePlacement {

namespace {

/// Part of the pool's slots that the whole load keeps busy.
constexpr double utilisation = 0.6;
constexpr unsigned slotsPerUpstream = 2;

Utils::ShardId shardId(std::size_t number) { return Utils::ShardId { "range/" + std::to_string(number) }; }

} // namespace

Placement::PlacementInput makePool(const PoolSize& size)
{
    Placement::PlacementInput input;
    for (std::size_t number = 0; number < size.upstreams; ++number) {
        Declarations::Upstream upstream;
        upstream.id = Utils::UpstreamId { "upstream-" + std::to_string(number) };
        upstream.zone = Utils::ZoneId { "zone-" + std::to_string(number % size.zones) };
        upstream.slots = slotsPerUpstream;
        input.upstreams[upstream.id] = upstream;
    }
    for (std::size_t number = 0; number < size.shards; ++number)
        input.shards.insert(shardId(number));
    return input;
}

Workload makeWorkload(const PoolSize& size, std::uint64_t seed)
{
    Workload workload;
    double sum = 0;
    for (std::size_t key = 0; key < size.keys; ++key) {
        const std::uint64_t hash = Utils::stableHash("key-" + std::to_string(key), seed);
        workload.shardOfKey.push_back(shardId(hash % size.shards));
        workload.keyLoads.push_back(1 / static_cast<double>(key + 1));
        sum += workload.keyLoads.back();
    }
    const double busySlots = utilisation * slotsPerUpstream * static_cast<double>(size.upstreams);
    for (double& load : workload.keyLoads)
        load *= busySlots / sum;
    return workload;
}

void moveHotKeys(Workload& workload, std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (std::size_t key = 0; key < std::min(count, workload.keyLoads.size()); ++key)
        std::swap(workload.keyLoads[key], workload.keyLoads[random() % workload.keyLoads.size()]);
}

std::map<Utils::ShardId, double> shardLoads(const Workload& workload)
{
    std::map<Utils::ShardId, double> loads;
    for (std::size_t key = 0; key < workload.keyLoads.size(); ++key)
        loads[workload.shardOfKey[key]] += workload.keyLoads[key];
    return loads;
}

std::map<Utils::ShardId, double> shardKeys(const Workload& workload)
{
    std::map<Utils::ShardId, double> keys;
    for (const Utils::ShardId& shard : workload.shardOfKey)
        keys[shard] += 1;
    return keys;
}

} // namespace MeasurePlacement
