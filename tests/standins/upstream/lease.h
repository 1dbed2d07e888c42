#pragma once

#include <ownership/fencerequest.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>

namespace StandInUpstream {

struct UpstreamServer;

/// Applies a grant and journals it when it is accepted.
Ownership::HolderResponse takeGrant(UpstreamServer& server, const Ownership::GrantRequest& grant);

/// Applies a fence and journals it when it is accepted.
Ownership::HolderResponse takeFence(UpstreamServer& server, const Ownership::FenceRequest& fence);

/// Where the holder stands now.
Ownership::HolderResponse currentState(const UpstreamServer& server);

} // namespace StandInUpstream
