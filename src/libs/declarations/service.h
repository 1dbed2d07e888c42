#pragma once

#include <utils/ids.h>

#include <cstdint>
#include <vector>

namespace Declarations {

/// A service that callers name in the first segment of the request path.
struct Service {
    Utils::ServiceId id;
    /// Ranks that its requests may have.
    std::vector<Utils::RankId> ranks;
    /// Rank of a request whose caller names none; one of \c ranks.
    Utils::RankId defaultRank;
    Utils::PolicyId policy;
    /// Largest request body in bytes.
    std::uint64_t maxRequestBytes = 1 << 20;

    bool operator==(const Service&) const = default;
};

} // namespace Declarations
