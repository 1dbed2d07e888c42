#include "methods.h"

#include <placement/placeshards.h>
#include <placement/rendezvous.h>

namespace MeasurePlacement {

namespace {

constexpr int maxRounds = 100;

Placement::PlacementResult placeByRendezvous(const Placement::PlacementInput& input)
{
    Placement::PlacementResult result;
    for (const Utils::ShardId& shard : input.shards) {
        double best = 0;
        for (const std::pair<const Utils::UpstreamId, Declarations::Upstream>& entry : input.upstreams) {
            if (entry.second.leaving)
                continue;
            const double score
                = Placement::rendezvousScore(shard.value, entry.first.value, entry.second.slots);
            if (score <= best)
                continue;
            best = score;
            result.shards[shard].owner = entry.first;
        }
    }
    return result;
}

Placement::PlacementResult repack(Placement::PlacementInput input)
{
    input.present.clear();
    return Placement::placeShards(input);
}

Placement::PlacementResult placeInRounds(Placement::PlacementInput input)
{
    Placement::PlacementResult result = Placement::placeShards(input);
    for (int round = 1; round < maxRounds && result.balancingMoves > 0; ++round) {
        input.present = result.shards;
        result = Placement::placeShards(input);
    }
    return result;
}

} // namespace

Placement::PlacementResult placeBy(Method method, const Placement::PlacementInput& input)
{
    switch (method) {
    case Method::Rendezvous:
        return placeByRendezvous(input);
    case Method::Repack:
        return repack(input);
    case Method::TwoStep:
        break;
    }
    return placeInRounds(input);
}

} // namespace MeasurePlacement
