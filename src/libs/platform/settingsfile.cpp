#include <platform/decodeerror.h>
#include <platform/endpointtext.h>
#include <platform/fieldname.h>
#include <platform/settingsfile.h>
#include <platform/timetext.h>

#include <boost/leaf/error.hpp>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace Platform {

namespace leaf = boost::leaf;

namespace Internal {

using TomlPath = toml::node_view<const toml::node>;

leaf::result<std::string> textAt(const toml::table& table, std::string_view path)
{
    const std::optional<std::string> text = table.at_path(path).value<std::string>();
    if (!text)
        return leaf::new_error(DecodeError::MissingField, FieldName { std::string(path) });
    return *text;
}

leaf::result<Routing::Endpoint> endpointAt(const toml::table& table, std::string_view path)
{
    BOOST_LEAF_AUTO(text, textAt(table, path));
    return parseEndpoint(text);
}

leaf::result<void> readTime(const toml::table& table, std::string_view path, Utils::Duration& time)
{
    const std::optional<std::string> text = table.at_path(path).value<std::string>();
    if (!text)
        return {};
    BOOST_LEAF_ASSIGN(time, parseDuration(*text));
    return {};
}

leaf::result<Routing::OperatingLimits> readBounds(const toml::table& table)
{
    Routing::OperatingLimits bounds;
    BOOST_LEAF_CHECK(readTime(table, "terms.bounds.grace", bounds.terminationGracePeriod));
    BOOST_LEAF_CHECK(readTime(table, "terms.bounds.apply", bounds.configurationApplyTimeout));
    BOOST_LEAF_CHECK(readTime(table, "terms.bounds.drain", bounds.drainTimeout));
    BOOST_LEAF_CHECK(readTime(table, "terms.bounds.hold_max", bounds.maxKeyLease));
    BOOST_LEAF_CHECK(readTime(table, "terms.bounds.retry_window", bounds.retryWindow));
    bounds.retryRatio = table.at_path("terms.bounds.retry_ratio").value_or(bounds.retryRatio);
    bounds.retrySlack = table.at_path("terms.bounds.retry_slack").value_or(bounds.retrySlack);
    return bounds;
}

void readZones(const toml::table& table, Routing::VmSettings& settings)
{
    const toml::table* zones = table.at_path("network.zones").as_table();
    if (!zones)
        return;
    for (auto it = zones->begin(); it != zones->end(); ++it) {
        const std::optional<std::string> region = it->second.value<std::string>();
        if (region)
            settings.regionByZone[{ std::string(it->first.str()) }] = { *region };
    }
}

} // namespace Internal

leaf::result<Routing::VmSettings> decodeSettings(const std::string& text)
{
    const toml::parse_result parsed = toml::parse(text);
    if (!parsed)
        return leaf::new_error(DecodeError::Unreadable, FieldName { "" });
    const toml::table& table = parsed.table();
    Routing::VmSettings settings;
    BOOST_LEAF_ASSIGN(settings.name.value, Internal::textAt(table, "self.node_name"));
    BOOST_LEAF_ASSIGN(settings.address, Internal::textAt(table, "self.ip"));
    BOOST_LEAF_ASSIGN(settings.zone.value, Internal::textAt(table, "self.zone"));
    BOOST_LEAF_ASSIGN(settings.region.value, Internal::textAt(table, "self.region"));
    BOOST_LEAF_ASSIGN(settings.callerEndpoint, Internal::endpointAt(table, "network.listen.front"));
    BOOST_LEAF_ASSIGN(settings.readinessEndpoint, Internal::endpointAt(table, "network.listen.ready"));
    // The outer table says which kinds of platform service there are, the inner one where the store is.
    BOOST_LEAF_ASSIGN(settings.storeEndpoint, Internal::endpointAt(table, "platform.platform.address"));
    settings.firstInternalPort = table.at_path("network.internal_ports[0]").value_or(std::uint16_t(0));
    settings.lastInternalPort = table.at_path("network.internal_ports[1]").value_or(std::uint16_t(0));
    settings.cpuShare = table.at_path("self.limits.cpu_share").value_or(settings.cpuShare);
    settings.memoryMegabytes = table.at_path("self.limits.memory_mb").value_or(settings.memoryMegabytes);
    settings.maxFileDescriptors = table.at_path("self.limits.max_fds").value_or(settings.maxFileDescriptors);
    BOOST_LEAF_ASSIGN(settings.operatingLimits, Internal::readBounds(table));
    Internal::readZones(table, settings);
    return settings;
}

} // namespace Platform
