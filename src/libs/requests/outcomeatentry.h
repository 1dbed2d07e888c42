#pragma once

#include <requests/outcome.h>
#include <requests/reason.h>

namespace Requests {

/// The outcome to tell a caller when the reason comes from a VM that doesn't remember the request's id: the
/// entry VM itself, or a dispatcher that couldn't look. A non-idempotent request that the caller repeats may
/// have run before, so that refusing the repeat doesn't make it not run. \param attempt the caller's attempt,
/// 1 for its first sending.
Outcome outcomeAtEntry(Reason reason, bool idempotent, unsigned attempt);

} // namespace Requests
