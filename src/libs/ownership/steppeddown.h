#pragma once

#include <ownership/grantlevel.h>

namespace Ownership {

/// This VM has stopped granting for good on the assignment that it had, because it saw a higher level.
struct SteppedDown {
    GrantLevel seenLevel;

    bool operator==(const SteppedDown&) const = default;
};

} // namespace Ownership
