#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Balancing {

/// Network distance of an upstream from this VM.
enum class Distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

inline constexpr std::array<Utils::EnumName<Distance>, 3> distanceNames { {
    { Distance::SameZone, "same_zone" },
    { Distance::SameRegion, "same_region" },
    { Distance::OtherRegion, "other_region" },
} };

} // namespace Balancing
