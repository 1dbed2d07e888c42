#include "event.h"

#include <string>

namespace MeasurePlacement {

namespace {

/// Load of the hot shard over the mean of the others.
constexpr double hotShardFactor = 10;

template <typename Container> typename Container::iterator pick(Container& container, std::mt19937_64& random)
{
    return std::next(container.begin(), static_cast<std::ptrdiff_t>(random() % container.size()));
}

void addUpstream(Placement::PlacementInput& input)
{
    const Declarations::Upstream& model = input.upstreams.begin()->second;
    Declarations::Upstream added = model;
    added.id = Utils::UpstreamId { "added" };
    input.upstreams[added.id] = added;
}

void heatShard(Placement::PlacementInput& input, std::mt19937_64& random)
{
    double sum = 0;
    for (const std::pair<const Utils::ShardId, double>& entry : input.loads)
        sum += entry.second;
    pick(input.loads, random)->second += hotShardFactor * sum / static_cast<double>(input.loads.size());
}

} // namespace

void applyEvent(Event event, Placement::PlacementInput& input, std::mt19937_64& random)
{
    switch (event) {
    case Event::None:
    case Event::HotKeys:
        return;
    case Event::Add:
        addUpstream(input);
        return;
    case Event::Remove:
        input.upstreams.erase(pick(input.upstreams, random));
        return;
    case Event::Leave:
        pick(input.upstreams, random)->second.leaving = true;
        return;
    case Event::HotShard:
        heatShard(input, random);
        return;
    }
}

} // namespace MeasurePlacement
