#include <platform/configurationdecoder.h>
#include <platform/decodeerror.h>
#include <platform/fieldname.h>
#include <platform/jsonfields.h>

#include <boost/leaf/error.hpp>

#include <charconv>

namespace Platform {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace Internal {

leaf::result<std::uint64_t> decodeVersion(const std::string& text)
{
    std::uint64_t version = 0;
    if (text.front() != 'r')
        return leaf::new_error(DecodeError::OutOfRange, FieldName { "version" });
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + 1, end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return leaf::new_error(DecodeError::OutOfRange, FieldName { "version" });
    return version;
}

unsigned clampedToUnsigned(std::uint64_t number)
{
    return static_cast<unsigned>(std::min<std::uint64_t>(number, INT32_MAX));
}

leaf::result<Routing::CallerLimits> decodeLimits(const json::object& object)
{
    Routing::CallerLimits limits;
    BOOST_LEAF_AUTO(headerBytes, readUnsigned(object, "header_bytes"));
    BOOST_LEAF_ASSIGN(limits.maxBodyBytes, readUnsigned(object, "body_bytes"));
    BOOST_LEAF_ASSIGN(limits.headerTimeout, readDuration(object, "header"));
    BOOST_LEAF_ASSIGN(limits.idleTimeout, readDuration(object, "idle_timeout"));
    limits.maxHeaderBytes = static_cast<std::uint32_t>(std::min<std::uint64_t>(headerBytes, UINT32_MAX));
    return limits;
}

leaf::result<std::vector<Routing::RouteDestination>> decodeParts(const json::object& action)
{
    std::vector<Routing::RouteDestination> parts;
    if (!action.if_contains("traffic_split")) {
        BOOST_LEAF_AUTO(service, readString(action, "service"));
        parts.push_back({ { service }, 1 });
        return parts;
    }
    BOOST_LEAF_AUTO(split, readArray(action, "traffic_split"));
    std::uint64_t total = 0;
    for (const json::value& value : *split) {
        if (!value.is_object())
            return leaf::new_error(DecodeError::WrongType, FieldName { "traffic_split" });
        BOOST_LEAF_AUTO(service, readString(value.get_object(), "service"));
        BOOST_LEAF_AUTO(weight, readUnsigned(value.get_object(), "weight"));
        if (weight > INT32_MAX)
            return leaf::new_error(DecodeError::OutOfRange, FieldName { "weight" });
        total += weight;
        parts.push_back({ { service }, static_cast<unsigned>(weight) });
    }
    if (total == 0 || total > INT32_MAX)
        return leaf::new_error(DecodeError::OutOfRange, FieldName { "weight" });
    return parts;
}

/// Decodes "home_regions" of an action. An empty list, as well as none, allows all regions.
leaf::result<std::vector<Utils::RegionId>> decodeHomeRegions(const json::object& action)
{
    std::vector<Utils::RegionId> regions;
    if (!action.if_contains("home_regions"))
        return regions;
    BOOST_LEAF_AUTO(names, readArray(action, "home_regions"));
    for (const json::value& name : *names) {
        if (!name.is_string() || name.get_string().empty())
            return leaf::new_error(DecodeError::WrongType, FieldName { "home_regions" });
        regions.push_back({ std::string(name.get_string()) });
    }
    return regions;
}

leaf::result<Routing::Route> decodeRule(const json::object& rule, const std::string& host)
{
    Routing::Route route;
    route.host = host;
    BOOST_LEAF_ASSIGN(route.name, readString(rule, "name"));
    BOOST_LEAF_AUTO(kindName, readString(rule, "kind"));
    const std::optional<Routing::RequestKind> kind
        = Utils::enumFromName(Routing::requestKindNames, std::string_view(kindName));
    // Requests of an unknown kind are not retried.
    route.kind = kind.value_or(Routing::RequestKind::Unsafe);
    BOOST_LEAF_ASSIGN(route.targetLatency, readDuration(rule, "target_latency"));
    if (rule.if_contains("priority")) {
        BOOST_LEAF_AUTO(priority, readUnsigned(rule, "priority"));
        route.priority = clampedToUnsigned(priority);
    }
    BOOST_LEAF_AUTO(match, readObject(rule, "match"));
    BOOST_LEAF_ASSIGN(route.pathPrefix, readString(*match, "path_prefix"));
    BOOST_LEAF_AUTO(action, readObject(rule, "action"));
    BOOST_LEAF_ASSIGN(route.destinations, decodeParts(*action));
    BOOST_LEAF_ASSIGN(route.timeout, readDuration(*action, "timeout"));
    BOOST_LEAF_AUTO(attempts, readUnsigned(*action, "max_attempts"));
    route.maxAttempts = std::max(clampedToUnsigned(attempts), 1U);
    BOOST_LEAF_ASSIGN(route.homeRegions, decodeHomeRegions(*action));
    return route;
}

leaf::result<void> decodeHost(const json::value& listener, std::vector<Routing::Route>& routes)
{
    if (!listener.is_object())
        return leaf::new_error(DecodeError::WrongType, FieldName { "listeners" });
    BOOST_LEAF_AUTO(host, readString(listener.get_object(), "host"));
    BOOST_LEAF_AUTO(rules, readArray(listener.get_object(), "rules"));
    for (const json::value& rule : *rules) {
        if (!rule.is_object())
            return leaf::new_error(DecodeError::WrongType, FieldName { "rules" });
        BOOST_LEAF_AUTO(route, decodeRule(rule.get_object(), host));
        routes.push_back(std::move(route));
    }
    return {};
}

leaf::result<Routing::Service> decodeCluster(const json::value& cluster)
{
    if (!cluster.is_object())
        return leaf::new_error(DecodeError::WrongType, FieldName { "clusters" });
    const json::object& object = cluster.get_object();
    Routing::Service service;
    BOOST_LEAF_ASSIGN(service.id.value, readString(object, "name"));
    BOOST_LEAF_ASSIGN(service.healthPath, readString(object, "health_path"));
    if (object.if_contains("max_conns")) {
        BOOST_LEAF_AUTO(connections, readUnsigned(object, "max_conns"));
        service.maxConnections = clampedToUnsigned(connections);
    }
    BOOST_LEAF_ASSIGN(service.keyed, readFlag(object, "sharded"));
    if (object.if_contains("warm")) {
        BOOST_LEAF_ASSIGN(service.warmUp, readDuration(object, "warm"));
    }
    if (object.if_contains("cold")) {
        BOOST_LEAF_ASSIGN(service.coldTime, readDuration(object, "cold"));
    }
    // Zero, as well as none, means that a cold upstream is not limited.
    BOOST_LEAF_AUTO(coldRate, readAmount(object, "cold_per_s"));
    if (coldRate > 0)
        service.coldRequestsPerSecond = coldRate;
    return service;
}

} // namespace Internal

leaf::result<Routing::Configuration> decodeConfiguration(std::string_view text)
{
    BOOST_LEAF_AUTO(object, Internal::parseObject(text));
    Routing::Configuration configuration;
    BOOST_LEAF_AUTO(version, Internal::readString(object, "version"));
    BOOST_LEAF_ASSIGN(configuration.version, Internal::decodeVersion(version));
    if (object.if_contains("limits")) {
        BOOST_LEAF_AUTO(limits, Internal::readObject(object, "limits"));
        BOOST_LEAF_ASSIGN(configuration.limits, Internal::decodeLimits(*limits));
    }
    BOOST_LEAF_AUTO(listeners, Internal::readArray(object, "listeners"));
    for (const json::value& listener : *listeners)
        BOOST_LEAF_CHECK(Internal::decodeHost(listener, configuration.routes));
    BOOST_LEAF_AUTO(clusters, Internal::readArray(object, "clusters"));
    for (const json::value& cluster : *clusters) {
        BOOST_LEAF_AUTO(service, Internal::decodeCluster(cluster));
        configuration.services[service.id] = service;
    }
    return configuration;
}

} // namespace Platform
