#pragma once

#include <utils/ids.h>

#include <boost/leaf/result.hpp>

#include <map>
#include <string>
#include <string_view>

/// Records of the operator's topic that ask that no requests are sent to an availability zone.
namespace Platform {

/// Whether \a key is that of the evacuation of a zone.
bool isEvacuationKey(std::string_view key);

/// Returns the zone whose evacuation is recorded under \a key.
Utils::ZoneId evacuatedZone(std::string_view key);

/// Inverse of evacuatedZone().
std::string makeEvacuationKey(const Utils::ZoneId& zone);

/// Checks a record that starts an evacuation. Fails with a DecodeError and, where there is one, the
/// FieldName: UnknownValue if the zone has no region in \a regionByZone.
boost::leaf::result<Utils::ZoneId> decodeEvacuation(std::string_view key, std::string_view value,
    const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone);

} // namespace Platform
