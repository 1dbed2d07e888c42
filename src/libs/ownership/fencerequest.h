#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

namespace Ownership {

/// Tells an upstream to reject every grant and request below \c level from now on. The lease that it holds
/// stays valid until it expires.
struct FenceRequest {
    GrantLevel level;
    /// The incarnation that is addressed; 0 addresses any incarnation.
    Utils::Incarnation incarnation = 0;

    bool operator==(const FenceRequest&) const = default;
};

} // namespace Ownership
