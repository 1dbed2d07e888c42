#include <platform/decodeerror.h>
#include <platform/evacuationrecord.h>
#include <platform/fieldname.h>
#include <platform/jsonfields.h>

#include <boost/leaf/error.hpp>

#include <string>

namespace Platform {

namespace leaf = boost::leaf;

namespace Internal {

constexpr std::string_view evacuationKeyPrefix = "evacuate/";

} // namespace Internal

bool isEvacuationKey(std::string_view key)
{
    return key.size() > Internal::evacuationKeyPrefix.size()
        && key.starts_with(Internal::evacuationKeyPrefix);
}

Utils::ZoneId evacuatedZone(std::string_view key)
{
    return { std::string(key.substr(Internal::evacuationKeyPrefix.size())) };
}

std::string makeEvacuationKey(const Utils::ZoneId& zone)
{
    return std::string(Internal::evacuationKeyPrefix) + zone.value;
}

leaf::result<Utils::ZoneId> decodeEvacuation(std::string_view key, std::string_view value,
    const std::map<Utils::ZoneId, Utils::RegionId>& regionByZone)
{
    BOOST_LEAF_CHECK(Internal::parseObject(value));
    Utils::ZoneId zone = evacuatedZone(key);
    if (!regionByZone.contains(zone))
        return leaf::new_error(DecodeError::UnknownValue, FieldName { "evacuate" });
    return zone;
}

} // namespace Platform
