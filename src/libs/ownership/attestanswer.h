#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// Answer to an AttestRequest.
struct AttestAnswer {
    Utils::PoolId pool;
    /// Level and ask id of the request.
    GrantLevel level;
    std::uint64_t ask = 0;
    /// The highest level that the answering VM knows.
    GrantLevel highest;
    /// Whether it attests. False also when it has not read the record yet.
    bool attested = false;

    bool operator==(const AttestAnswer&) const = default;
};

} // namespace Ownership
