#pragma once

#include <utils/time.h>

namespace Edge {

/// Time of the monotonic clock that all decisions of a VM are based on. Unlike the steady clock it includes
/// the time for which the VM was suspended, so that a lease also expires during a suspension.
Utils::Instant now();

} // namespace Edge
