#pragma once

#include <utils/ids.h>

namespace Declarations {

/// An availability zone: VMs and upstreams that can fail together.
struct AvailabilityZone {
    Utils::ZoneId id;
    Utils::RegionId region;

    bool operator==(const AvailabilityZone&) const = default;
};

} // namespace Declarations
