#pragma once

#include <granting/keyload.h>
#include <granting/keyplacement.h>
#include <granting/placementtarget.h>

#include <optional>
#include <vector>

namespace Granting {

/// Where keys should lie, or nothing while they lie well.
///
/// Load pattern: few keys, close to one another, get much of the traffic, and change within seconds;
/// upstreams come and go. Keys without a usable holder are spread over all. Beyond that only as many keys
/// move, from the most to the least loaded upstream, as bring the most loaded one near its share. \param
/// current covers all keys, or is empty.
std::optional<std::vector<KeyPlacement>> planPlacement(const std::vector<KeyPlacement>& current,
    const std::vector<PlacementTarget>& servers, const KeyLoad& load);

} // namespace Granting
