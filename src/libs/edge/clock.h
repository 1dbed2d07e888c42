#pragma once

#include <utils/time.h>

namespace Edge {

/// The clock of all decisions on a VM: monotonic, and unlike the steady clock it also counts the time for
/// which the VM was suspended, so that a lease can't outlive a pause.
Utils::Instant now();

} // namespace Edge
