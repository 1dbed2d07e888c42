#include <edge/limitshares.h>
#include <utils/hash.h>

#include <vector>

namespace Edge {

namespace Internal {

/// VMs come and go; a share that is this old is computed again.
constexpr Utils::Duration maxShareAge = std::chrono::seconds(1);
/// Number of VMs that share a limit until the leader has told the number.
constexpr std::uint32_t assumedVmCount = 32;

} // namespace Internal

void updateShare(
    const Node& node, const Utils::UpstreamId& upstream, Balancing::RequestLimit& limit, Utils::Instant at)
{
    const std::size_t vmCount = node.relay.vmCount > 0 ? node.relay.vmCount : Internal::assumedVmCount;
    const std::uint64_t seed = Utils::stableHash(upstream.value);
    std::vector<std::uint64_t> others;
    for (auto it = node.relay.members.begin(); it != node.relay.members.end(); ++it) {
        if (it->first != node.settings.address)
            others.push_back(Utils::stableHash(it->first, seed));
    }
    limit.shareholders = Balancing::countShareholders(limit.perSecond, limit.bound, vmCount);
    limit.isShareholder = Balancing::isAmongShareholders(
        limit, Utils::stableHash(node.settings.address, seed), others, vmCount);
    limit.sharedAt = at;
}

void refreshShare(
    const Node& node, const Utils::UpstreamId& upstream, Balancing::RequestLimit& limit, Utils::Instant at)
{
    if (at - limit.sharedAt > Internal::maxShareAge)
        updateShare(node, upstream, limit, at);
}

double sharePhase(const Node& node, const Utils::UpstreamId& upstream)
{
    return Balancing::hashFraction(
        Utils::stableHash(upstream.value, Utils::stableHash(node.settings.name.value)));
}

} // namespace Edge
