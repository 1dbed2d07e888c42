#pragma once

#include <declarations/availabilityzone.h>
#include <declarations/keyrange.h>
#include <declarations/policy.h>
#include <declarations/rank.h>
#include <declarations/region.h>
#include <declarations/regionlink.h>
#include <declarations/service.h>
#include <declarations/upstreampool.h>
#include <utils/ids.h>

#include <map>
#include <vector>

namespace Declarations {

/// A whole checked set of declarations.
struct Configuration {
    std::map<Utils::RegionId, Region> regions;
    std::map<Utils::ZoneId, AvailabilityZone> zones;
    std::vector<RegionLink> links;
    std::map<Utils::RankId, Rank> ranks;
    std::map<Utils::PolicyId, Policy> policies;
    std::map<Utils::PoolId, UpstreamPool> pools;
    std::map<Utils::ServiceId, Service> services;
    std::map<Utils::KeyRangeId, KeyRange> keyRanges;

    bool operator==(const Configuration&) const = default;
};

} // namespace Declarations
