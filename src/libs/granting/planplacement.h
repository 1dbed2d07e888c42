#pragma once

#include <granting/keyload.h>
#include <granting/keyplacement.h>
#include <granting/placementtarget.h>

#include <optional>
#include <vector>

namespace Granting {

/// Returns a new placement of the keys, or nothing if the current one needs no change.
///
/// Load pattern: few keys, close to one another, get much of the traffic, and change within seconds;
/// upstreams come and go. Keys without a usable holder are distributed over all targets. Beyond that, only as
/// many keys move from the most to the least loaded upstream as are needed to bring the most loaded one near
/// its share. \param current covers all keys, or is empty.
std::optional<std::vector<KeyPlacement>> planPlacement(const std::vector<KeyPlacement>& current,
    const std::vector<PlacementTarget>& targets, const KeyLoad& load);

} // namespace Granting
