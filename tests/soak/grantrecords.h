#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Soak {

/// All grants that upstreams were given, to check that fencing tokens only rise from one holder to the next.
struct GrantRecords {
    struct Grant {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t token = 0;
        /// The upstream's id and start time.
        std::string holder;
    };
    std::vector<Grant> grants;
};

/// Records a grant. Returns false if another holder had one of its keys with the same or a higher token.
bool recordGrant(GrantRecords& records, const GrantRecords::Grant& grant);

} // namespace Soak
