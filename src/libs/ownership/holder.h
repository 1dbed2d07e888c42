#pragma once

#include <ownership/fencerequest.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>
#include <ownership/holderstate.h>

/// The upstream's side of the grant protocol, as the upstream interface specifies it. Test code such as the
/// test upstream and the explorer runs it; the production code only relies on it.
namespace Ownership {

/// Applies a grant. \a clock is the holder's clock in microseconds.
HolderResponse applyGrant(HolderState& state, const GrantRequest& request, std::int64_t clock);

/// Applies a fence; the lease that is held stays valid until it expires.
HolderResponse applyFence(HolderState& state, const FenceRequest& request, std::int64_t clock);

/// Whether a request for \a shard that was sent at \a level may be executed now.
HolderVerdict checkRequest(
    const HolderState& state, const Utils::ShardId& shard, GrantLevel level, std::int64_t clock);

} // namespace Ownership
