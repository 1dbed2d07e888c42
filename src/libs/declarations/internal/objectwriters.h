#pragma once

#include <declarations/availabilityzone.h>
#include <declarations/keyrange.h>
#include <declarations/policy.h>
#include <declarations/rank.h>
#include <declarations/region.h>
#include <declarations/regionlink.h>
#include <declarations/service.h>
#include <declarations/upstreampool.h>

#include <boost/json/object.hpp>

/// The JSON object of each declared object, with every field in a fixed order.
namespace Declarations::Internal {

boost::json::object toJson(const Region& region);
boost::json::object toJson(const AvailabilityZone& zone);
boost::json::object toJson(const RegionLink& link);
boost::json::object toJson(const Rank& rank);
boost::json::object toJson(const Policy& policy);
boost::json::object toJson(const Upstream& upstream);
boost::json::object toJson(const UpstreamPool& pool);
boost::json::object toJson(const Service& service);
boost::json::object toJson(const KeyRange& range);

} // namespace Declarations::Internal
