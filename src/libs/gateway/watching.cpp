#include <gateway/watching.h>

#include <gateway/poolroute.h>
#include <membership/health.h>

#include <vector>

namespace Gateway {

namespace Internal {

/// The pair that dispatches for the pool; empty names when it has none.
PoolRoute pairOf(const ControlState& state, const Utils::PoolId& pool)
{
    const auto found = state.reader.state.agreed.assignments.find(pool);
    if (found == state.reader.state.agreed.assignments.end())
        return {};
    return { found->second.token, found->second.dispatcher.vm, found->second.successor.vm };
}

} // namespace Internal

std::set<Utils::VmId> proposersOf(const ControlState& state, const Utils::PoolId& pool)
{
    const PoolRoute pair = Internal::pairOf(state, pool);
    const std::vector<Utils::VmId> watchers
        = Membership::watchersOf(listedVms(state), pool, pair.dispatcher, pair.successor);
    std::set<Utils::VmId> proposers(watchers.begin(), watchers.end());
    proposers.insert(pair.dispatcher);
    proposers.insert(pair.successor);
    proposers.erase(Utils::VmId {});
    return proposers;
}

std::set<Utils::VmId> partnersOf(const ControlState& state)
{
    std::set<Utils::VmId> partners;
    for (const std::pair<const Utils::PoolId, Agreement::PoolAssignment>& entry :
        state.reader.state.agreed.assignments) {
        if (!proposersOf(state, entry.first).contains(state.self.vm))
            continue;
        partners.insert(entry.second.dispatcher.vm);
        partners.insert(entry.second.successor.vm);
    }
    partners.erase(Utils::VmId {});
    partners.erase(state.self.vm);
    return partners;
}

std::set<Utils::VmId> listedVms(const ControlState& state)
{
    std::set<Utils::VmId> names;
    for (const std::pair<const Utils::VmId, LogService::VmEntry>& entry : state.vms)
        names.insert(entry.first);
    return names;
}

} // namespace Gateway
