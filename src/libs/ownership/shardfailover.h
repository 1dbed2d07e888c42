#pragma once

#include <ownership/granterstate.h>
#include <utils/time.h>

namespace Ownership::Internal {

/// Turns shards from their owner to their standby where the owner is lost, or the standby holds them already,
/// and back where the standby is lost.
void failOverShards(GranterState& state, Utils::Instant now);

} // namespace Ownership::Internal
