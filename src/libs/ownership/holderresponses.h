#pragma once

#include <ownership/pendingquery.h>
#include <ownership/granterstate.h>
#include <ownership/holderresponse.h>
#include <utils/ids.h>
#include <utils/time.h>

/// Updates a granter's view of an upstream from its responses.
namespace Ownership::Internal {

/// Records \a response to \a query in the view of its upstream. The level in the response must not be above
/// the granter's.
void recordResponse(
    GranterState& state, const PendingQuery& query, const HolderResponse& response, Utils::Instant now);

} // namespace Ownership::Internal
