#pragma once

#include <gateway/networkstate.h>
#include <requests/linkdecision.h>

/// The metered links between regions: each VM keeps its own part of what its region may send.
namespace Gateway {

/// Makes the budgets anew when regions, links or VMs have changed.
void refreshLinkBudgets(NetworkState& state, const RoutingTable& former);

/// Takes \a bytes for \a vm out of the budget of the link to its region; always allowed within the own region
/// and over links that are not declared.
Requests::LinkDecision takeLinkTo(
    NetworkState& state, const Utils::VmId& vm, const Utils::RankId& rank, std::uint64_t bytes);

/// Charges bytes that have been sent to \a vm already.
void chargeLinkTo(NetworkState& state, const Utils::VmId& vm, const Utils::RankId& rank, std::uint64_t bytes);

} // namespace Gateway
