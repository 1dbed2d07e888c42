#pragma once

#include <gateway/controlstate.h>

#include <set>

/// Which VMs this one keeps an eye on.
namespace Gateway {

/// The VMs that may propose for \a pool: its dispatcher, its successor and its watchers.
std::set<Utils::VmId> proposersOf(const ControlState& state, const Utils::PoolId& pool);

/// The VMs that share a pool with this one, or whose pool it watches.
std::set<Utils::VmId> partnersOf(const ControlState& state);

/// The VMs that are listed.
std::set<Utils::VmId> listedVms(const ControlState& state);

} // namespace Gateway
