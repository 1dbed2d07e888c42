#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// Response to an AttestRequest.
struct AttestResponse {
    Utils::PoolId pool;
    /// Level and query id of the request.
    GrantLevel level;
    std::uint64_t queryId = 0;
    /// The highest level known to the responding VM.
    GrantLevel highestKnownLevel;
    /// Whether the VM attests. Also false if it has not read the assignment record yet.
    bool isAttested = false;

    bool operator==(const AttestResponse&) const = default;
};

} // namespace Ownership
