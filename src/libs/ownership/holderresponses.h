#pragma once

#include <ownership/pendingquery.h>
#include <ownership/granterstate.h>
#include <ownership/holderresponse.h>
#include <utils/ids.h>
#include <utils/time.h>

/// What a granter learns from an upstream's answer.
namespace Ownership::Internal {

/// Enters \a answer to \a ask into the view of its upstream. The answer shows no level above the granter's.
void recordResponse(
    GranterState& state, const PendingQuery& ask, const HolderResponse& answer, Utils::Instant now);

} // namespace Ownership::Internal
