#pragma once

#include <ownership/granterstate.h>
#include <utils/time.h>

namespace Ownership::Internal {

/// The next time after \a now at which the passage of time alone can change the state.
Utils::Instant findNextDeadline(const GranterState& state, Utils::Instant now);

} // namespace Ownership::Internal
