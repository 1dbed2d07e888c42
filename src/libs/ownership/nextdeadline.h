#pragma once

#include <ownership/granterstate.h>
#include <utils/time.h>

namespace Ownership::Internal {

/// The next point in time after \a now at which something can change by time alone.
Utils::Instant findNextDeadline(const GranterState& state, Utils::Instant now);

} // namespace Ownership::Internal
