#pragma once

#include <ownership/action.h>
#include <ownership/granterstate.h>
#include <ownership/servingupstream.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <vector>

/// Decides which shards a granter serves, that is, sends requests for.
namespace Ownership::Internal {

/// The end of the period in which \a holder is certain to hold \a shard or, if it does not check grants, in
/// which requests may be sent to it; nullopt if there is no such period.
std::optional<Utils::Instant> servableUntil(
    const GranterState& state, const Utils::UpstreamId& holder, const Utils::ShardId& shard);

/// Updates GranterState::servedShards and reports the changes.
void updateServedShards(GranterState& state, Utils::Instant now, std::vector<Action>& actions);

} // namespace Ownership::Internal
