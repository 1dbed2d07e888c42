#include "pool.h"

namespace Measure {

namespace {

Declarations::Rank rankOf(const char* name, unsigned order, Utils::Duration target, Utils::Duration timeout,
    double floorShare, unsigned retryBudgetPercent)
{
    Declarations::Rank rank;
    rank.id = { name };
    rank.order = order;
    rank.target = target;
    rank.defaultTimeout = timeout;
    rank.floorShare = floorShare;
    rank.retryBudgetPercent = retryBudgetPercent;
    return rank;
}

} // namespace

Dispatch::DispatchOptions poolOptions()
{
    using namespace std::chrono_literals;
    Dispatch::DispatchOptions options;
    for (const Declarations::Rank& rank : { rankOf("urgent", 0, 50ms, 300ms, 0, 10),
             rankOf("normal", 1, 200ms, 1s, 0.15, 5), rankOf("bulk", 2, 2s, 10s, 0.1, 2) })
        options.ranks[rank.id] = rank;
    for (unsigned number = 0; number < upstreamCount; ++number) {
        Declarations::Upstream upstream;
        upstream.id = upstreamName(number);
        upstream.slots = slotCount;
        options.upstreams[upstream.id] = upstream;
    }
    return options;
}

Utils::UpstreamId upstreamName(unsigned number) { return { "up-" + std::to_string(number) }; }

Utils::ShardId shardName(unsigned number) { return { "range/" + std::to_string(number) }; }

unsigned numberOf(const std::string& name) { return static_cast<unsigned>(name.back() - '0'); }

} // namespace Measure
