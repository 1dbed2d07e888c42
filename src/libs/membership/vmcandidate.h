#pragma once

#include <utils/ids.h>

namespace Membership {

/// A VM that is alive, as the one who proposes sees it.
struct VmCandidate {
    Utils::Incarnation incarnation = 0;
    Utils::RegionId region;
    Utils::ZoneId zone;
    bool leaving = false;
    /// Pools that it dispatches for or stands by for.
    unsigned duties = 0;
};

} // namespace Membership
