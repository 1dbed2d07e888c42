#include <membership/health.h>

#include <utils/hash.h>

#include <algorithm>

namespace Membership {

bool isAlive(const VmHealth& health, Utils::Instant now, Utils::Duration silence)
{
    return health.lastHeard && now - *health.lastHeard <= silence;
}

std::vector<Utils::VmId> rendezvousOrder(const std::set<Utils::VmId>& vms, const std::string& subject)
{
    const std::uint64_t seed = Utils::stableHash(subject);
    std::vector<std::pair<std::uint64_t, Utils::VmId>> weighted;
    weighted.reserve(vms.size());
    for (const Utils::VmId& vm : vms)
        weighted.emplace_back(Utils::stableHash(vm.value, seed), vm);
    std::sort(weighted.begin(), weighted.end());
    std::vector<Utils::VmId> order;
    order.reserve(weighted.size());
    for (const std::pair<std::uint64_t, Utils::VmId>& entry : weighted)
        order.push_back(entry.second);
    return order;
}

std::set<Utils::VmId> heartbeatTargets(const std::set<Utils::VmId>& vms,
    const std::set<Utils::VmId>& partners, const Utils::VmId& self, std::size_t limit)
{
    std::set<Utils::VmId> targets = partners;
    std::size_t others = 0;
    for (const Utils::VmId& vm : rendezvousOrder(vms, self.value)) {
        if (others >= limit)
            break;
        if (targets.insert(vm).second)
            ++others;
    }
    targets.erase(self);
    return targets;
}

std::vector<Utils::VmId> watchersOf(const std::set<Utils::VmId>& vms, const Utils::PoolId& pool,
    const Utils::VmId& dispatcher, const Utils::VmId& successor)
{
    constexpr std::size_t watchers = 3;
    std::set<Utils::VmId> others = vms;
    others.erase(dispatcher);
    others.erase(successor);
    std::vector<Utils::VmId> order = rendezvousOrder(others, pool.value);
    if (order.size() > watchers)
        order.resize(watchers);
    return order;
}

} // namespace Membership
