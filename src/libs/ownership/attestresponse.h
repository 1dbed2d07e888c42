#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// Answer to an AttestRequest.
struct AttestResponse {
    Utils::PoolId pool;
    /// Level and ask id of the request.
    GrantLevel level;
    std::uint64_t queryId = 0;
    /// The highest level that the answering VM knows.
    GrantLevel highestKnownLevel;
    /// Whether it attests. False also when it has not read the record yet.
    bool isAttested = false;

    bool operator==(const AttestResponse&) const = default;
};

} // namespace Ownership
