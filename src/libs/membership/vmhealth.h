#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <optional>

namespace Membership {

/// What this VM has heard from another one.
struct VmHealth {
    /// The start that answered last; 0 before the first answer.
    Utils::Incarnation incarnation = 0;
    std::optional<Utils::Instant> lastHeard;
    /// Offset of the last log record that it has applied.
    Utils::Offset applied = 0;
    /// Whether it says that it is on its way out.
    bool leaving = false;
};

} // namespace Membership
