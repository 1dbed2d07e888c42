#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// Tells a VM to grant and attest nothing below \c level from now on.
struct StopRequest {
    Utils::PoolId pool;
    GrantLevel level;
    std::uint64_t queryId = 0;

    bool operator==(const StopRequest&) const = default;
};

} // namespace Ownership
