#include <declarations/configurationdiff.h>

#include <declarations/internal/fieldreader.h>
#include <declarations/internal/objectwriters.h>
#include <declarations/objectref.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace Declarations {

namespace {

using Objects = std::map<ObjectRef, boost::json::object>;
using Fields = std::map<std::string, std::string>;

template <typename Map> void addAll(Objects& objects, ObjectKind kind, const Map& declared)
{
    for (const typename Map::value_type& entry : declared)
        objects[{ kind, entry.first.value }] = Internal::toJson(entry.second);
}

void addPools(Objects& objects, const Configuration& configuration)
{
    for (const std::pair<const Utils::PoolId, UpstreamPool>& entry : configuration.pools) {
        UpstreamPool bare = entry.second;
        bare.upstreams.clear();
        objects[{ ObjectKind::UpstreamPool, entry.first.value }] = Internal::toJson(bare);
        for (const std::pair<const Utils::UpstreamId, Upstream>& upstream : entry.second.upstreams) {
            boost::json::object object = Internal::toJson(upstream.second);
            object["pool"] = entry.first.value;
            objects[{ ObjectKind::Upstream, upstream.first.value }] = std::move(object);
        }
    }
}

Objects objectsOf(const Configuration& configuration)
{
    Objects objects;
    addAll(objects, ObjectKind::Region, configuration.regions);
    addAll(objects, ObjectKind::AvailabilityZone, configuration.zones);
    for (const RegionLink& link : configuration.links) {
        const std::string name = link.first.value + '/' + link.second.value;
        objects[{ ObjectKind::RegionLink, name }] = Internal::toJson(link);
    }
    addAll(objects, ObjectKind::Rank, configuration.ranks);
    addAll(objects, ObjectKind::Policy, configuration.policies);
    addPools(objects, configuration);
    addAll(objects, ObjectKind::Service, configuration.services);
    addAll(objects, ObjectKind::KeyRange, configuration.keyRanges);
    return objects;
}

void flatten(const boost::json::object& object, const std::string& place, Fields& fields)
{
    for (const boost::json::key_value_pair& field : object) {
        const std::string name = Internal::pointerTo(place, std::string_view(field.key()));
        if (field.value().is_object())
            flatten(field.value().get_object(), name, fields);
        else
            fields[name] = boost::json::serialize(field.value());
    }
}

Fields fieldsOf(const boost::json::object& object)
{
    Fields fields;
    flatten(object, {}, fields);
    return fields;
}

std::string valueOf(const Fields& fields, const std::string& name)
{
    const Fields::const_iterator found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

void compareObjects(const ObjectRef& ref, const boost::json::object& before, const boost::json::object& after,
    std::vector<Change>& changes)
{
    const Fields oldFields = fieldsOf(before);
    const Fields newFields = fieldsOf(after);
    Fields allFields = oldFields;
    allFields.insert(newFields.begin(), newFields.end());
    for (const std::pair<const std::string, std::string>& field : allFields) {
        const std::string oldValue = valueOf(oldFields, field.first);
        const std::string newValue = valueOf(newFields, field.first);
        if (oldValue != newValue)
            changes.push_back({ ChangeKind::Changed, ref.kind, ref.name, field.first, oldValue, newValue });
    }
}

void compareRef(
    const ObjectRef& ref, const Objects& before, const Objects& after, std::vector<Change>& changes)
{
    const Objects::const_iterator old = before.find(ref);
    const Objects::const_iterator next = after.find(ref);
    if (old == before.end()) {
        const std::string value = boost::json::serialize(next->second);
        changes.push_back({ ChangeKind::Added, ref.kind, ref.name, {}, {}, value });
        return;
    }
    if (next == after.end()) {
        const std::string value = boost::json::serialize(old->second);
        changes.push_back({ ChangeKind::Removed, ref.kind, ref.name, {}, value, {} });
        return;
    }
    compareObjects(ref, old->second, next->second, changes);
}

} // namespace

std::vector<Change> diffConfigurations(const Configuration& before, const Configuration& after)
{
    const Objects oldObjects = objectsOf(before);
    const Objects newObjects = objectsOf(after);
    std::set<ObjectRef> refs;
    for (const Objects::value_type& entry : oldObjects)
        refs.insert(entry.first);
    for (const Objects::value_type& entry : newObjects)
        refs.insert(entry.first);
    std::vector<Change> changes;
    for (const ObjectRef& ref : refs)
        compareRef(ref, oldObjects, newObjects, changes);
    return changes;
}

} // namespace Declarations
