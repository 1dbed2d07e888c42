#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

namespace Ownership {

/// Asks an upstream to refuse every grant and request below \c level from now on. The lease that it holds
/// runs on.
struct FenceRequest {
    GrantLevel level;
    /// The start that is meant; 0 asks whichever is there.
    Utils::Incarnation incarnation = 0;

    bool operator==(const FenceRequest&) const = default;
};

} // namespace Ownership
