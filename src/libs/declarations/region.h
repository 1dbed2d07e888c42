#pragma once

#include <utils/ids.h>

namespace Declarations {

/// A region: availability zones that are close to one another.
struct Region {
    Utils::RegionId id;

    bool operator==(const Region&) const = default;
};

} // namespace Declarations
