#pragma once

#include <ownership/fencerequest.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>
#include <ownership/holderstate.h>

/// The upstream's side of the grant protocol, as the interface page states it. The stand-in upstream and the
/// explorer run it; the product only relies on it.
namespace Ownership {

/// Applies a grant. \a clock is the holder's clock in microseconds.
HolderResponse applyGrant(HolderState& state, const GrantRequest& request, std::int64_t clock);

/// Applies a fence; the lease held goes on to its end.
HolderResponse applyFence(HolderState& state, const FenceRequest& request, std::int64_t clock);

/// Whether a request for \a shard sent at \a level may run now.
HolderVerdict checkRequest(
    const HolderState& state, const Utils::ShardId& shard, GrantLevel level, std::int64_t clock);

} // namespace Ownership
