#pragma once

#include <utils/ids.h>

#include <cstdint>
#include <map>

namespace Declarations {

/// The metered link between two regions; one declaration covers both directions.
struct RegionLink {
    Utils::RegionId first;
    Utils::RegionId second;
    /// Bits a second that the system may send each way.
    std::uint64_t bitsPerSecond = 0;
    /// Least share of the link, 0..1, that a rank can count on; the sum is at most 1.
    std::map<Utils::RankId, double> rankShares;

    bool operator==(const RegionLink&) const = default;
};

} // namespace Declarations
