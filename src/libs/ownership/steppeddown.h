#pragma once

#include <ownership/grantlevel.h>

namespace Ownership {

/// This VM has permanently stopped granting on its assignment because it saw a higher level.
struct SteppedDown {
    GrantLevel seenLevel;

    bool operator==(const SteppedDown&) const = default;
};

} // namespace Ownership
