#pragma once

#include <ownership/grantlevel.h>
#include <utils/ids.h>

#include <cstdint>

namespace Ownership {

/// A granter asks the other VM of its assignment record to attest that it knows no higher level.
struct AttestRequest {
    Utils::PoolId pool;
    GrantLevel level;
    std::uint64_t queryId = 0;

    bool operator==(const AttestRequest&) const = default;
};

} // namespace Ownership
