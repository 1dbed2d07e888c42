#include <gateway/linkmeter.h>

#include <requests/link.h>
#include <utils/time.h>

#include <algorithm>

namespace Gateway {

namespace Internal {

unsigned vmsInOwnRegion(const NetworkState& state)
{
    const auto isNear = [&state](const std::pair<const Utils::VmId, VmPlace>& entry) {
        return entry.second.region == state.settings.region;
    };
    const std::map<Utils::VmId, VmPlace>& vms = state.routing->vms;
    return std::max(1U, static_cast<unsigned>(std::count_if(vms.begin(), vms.end(), isNear)));
}

/// The budget that what is sent to \a vm comes out of; null when it is not metered.
Requests::LinkBudget* budgetTo(NetworkState& state, const Utils::VmId& vm)
{
    const auto place = state.routing->vms.find(vm);
    if (place == state.routing->vms.end())
        return nullptr;
    const auto budget = state.linkBudgets.find(place->second.region);
    return budget == state.linkBudgets.end() ? nullptr : &budget->second;
}

} // namespace Internal

void refreshLinkBudgets(NetworkState& state, const RoutingTable& former)
{
    const RoutingTable& table = *state.routing;
    if (table.configuration == nullptr
        || (table.configuration == former.configuration && table.vms.size() == former.vms.size()))
        return;
    state.linkBudgets.clear();
    const unsigned vms = Internal::vmsInOwnRegion(state);
    for (const Declarations::RegionLink& link : table.configuration->links) {
        const bool isFirst = link.first == state.settings.region;
        if (!isFirst && link.second != state.settings.region)
            continue;
        const Utils::RegionId& other = isFirst ? link.second : link.first;
        state.linkBudgets[other] = Requests::linkBudgetOf(link, vms, Utils::monotonicNow());
    }
}

Requests::LinkDecision takeLinkTo(
    NetworkState& state, const Utils::VmId& vm, const Utils::RankId& rank, std::uint64_t bytes)
{
    Requests::LinkBudget* budget = Internal::budgetTo(state, vm);
    if (budget == nullptr)
        return { true, {} };
    return Requests::takeLink(*budget, rank, bytes, Utils::monotonicNow());
}

void chargeLinkTo(NetworkState& state, const Utils::VmId& vm, const Utils::RankId& rank, std::uint64_t bytes)
{
    Requests::LinkBudget* budget = Internal::budgetTo(state, vm);
    if (budget != nullptr)
        Requests::chargeLink(*budget, rank, bytes, Utils::monotonicNow());
}

} // namespace Gateway
