#pragma once

#include <ownership/granterstate.h>
#include <utils/time.h>

namespace Ownership::Internal {

/// Fails shards over from the owner to the standby if the owner is unavailable or the standby already holds
/// them, and back to the owner if the standby is unavailable.
void failOverShards(GranterState& state, Utils::Instant now);

} // namespace Ownership::Internal
