#include <declarations/configurationwriter.h>

#include <declarations/internal/objectwriters.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace Declarations {

namespace {

template <typename Map> void appendAll(boost::json::array& objects, const Map& declared)
{
    for (const typename Map::value_type& entry : declared)
        objects.push_back(Internal::toJson(entry.second));
}

} // namespace

std::string writeConfiguration(const Configuration& configuration)
{
    boost::json::array objects;
    appendAll(objects, configuration.regions);
    appendAll(objects, configuration.zones);
    for (const RegionLink& link : configuration.links)
        objects.push_back(Internal::toJson(link));
    appendAll(objects, configuration.ranks);
    appendAll(objects, configuration.policies);
    appendAll(objects, configuration.pools);
    appendAll(objects, configuration.services);
    appendAll(objects, configuration.keyRanges);
    boost::json::object document;
    document["objects"] = std::move(objects);
    return boost::json::serialize(document);
}

} // namespace Declarations
