#pragma once

#include <ownership/ask.h>
#include <ownership/granterstate.h>
#include <ownership/holderanswer.h>
#include <utils/ids.h>
#include <utils/time.h>

/// What a granter learns from an upstream's answer.
namespace Ownership::Internal {

/// Enters \a answer to \a ask into the view of its upstream. The answer shows no level above the granter's.
void recordAnswer(GranterState& state, const Ask& ask, const HolderAnswer& answer, Utils::Instant now);

} // namespace Ownership::Internal
