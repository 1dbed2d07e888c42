#include <platform/decodeerror.h>
#include <platform/endpointtext.h>
#include <platform/fieldname.h>
#include <platform/settingsfile.h>
#include <platform/timetext.h>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <cmath>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace Platform {

namespace leaf = boost::leaf;

namespace Internal {

using TomlNodeView = toml::node_view<const toml::node>;

leaf::result<std::string> readString(const toml::table& table, std::string_view path)
{
    const std::optional<std::string> text = table.at_path(path).value<std::string>();
    if (!text)
        return leaf::new_error(DecodeError::MissingField, FieldName { std::string(path) });
    return *text;
}

leaf::result<Routing::Endpoint> readEndpoint(const toml::table& table, std::string_view path)
{
    BOOST_LEAF_AUTO(text, readString(table, path));
    return parseEndpoint(text);
}

/// Reads the addresses of the seeds. Their ports are not those of the relay.
leaf::result<std::vector<std::string>> readSeeds(const toml::table& table)
{
    std::vector<std::string> seeds;
    const toml::array* const entries = table.at_path("network.seeds").as_array();
    for (std::size_t index = 0; entries && index < entries->size(); ++index) {
        const std::optional<std::string> text = entries->get(index)->value<std::string>();
        if (!text)
            return leaf::new_error(DecodeError::WrongType, FieldName { "network.seeds" });
        BOOST_LEAF_AUTO(endpoint, parseEndpoint(*text));
        seeds.push_back(endpoint.address);
    }
    return seeds;
}

leaf::result<void> readOptionalDuration(
    const toml::table& table, std::string_view path, Utils::Duration& duration)
{
    const std::optional<std::string> text = table.at_path(path).value<std::string>();
    if (!text)
        return {};
    BOOST_LEAF_ASSIGN(duration, parseDuration(*text));
    return {};
}

/// Returns \a fallback if the field is absent. Fails if it is negative or not finite.
leaf::result<double> readAmount(const toml::table& table, std::string_view path, double fallback)
{
    const double amount = table.at_path(path).value_or(fallback);
    if (!std::isfinite(amount) || amount < 0)
        return leaf::new_error(DecodeError::OutOfRange, FieldName { std::string(path) });
    return amount;
}

leaf::result<Routing::OperatingLimits> readOperatingLimits(const toml::table& table)
{
    Routing::OperatingLimits operatingLimits;
    BOOST_LEAF_CHECK(
        readOptionalDuration(table, "terms.bounds.grace", operatingLimits.terminationGracePeriod));
    BOOST_LEAF_CHECK(
        readOptionalDuration(table, "terms.bounds.apply", operatingLimits.configurationApplyTimeout));
    BOOST_LEAF_CHECK(readOptionalDuration(table, "terms.bounds.drain", operatingLimits.drainTimeout));
    BOOST_LEAF_CHECK(readOptionalDuration(table, "terms.bounds.hold_max", operatingLimits.maxKeyLease));
    BOOST_LEAF_CHECK(readOptionalDuration(table, "terms.bounds.retry_window", operatingLimits.retryWindow));
    operatingLimits.retryRatio
        = table.at_path("terms.bounds.retry_ratio").value_or(operatingLimits.retryRatio);
    operatingLimits.retrySlack
        = table.at_path("terms.bounds.retry_slack").value_or(operatingLimits.retrySlack);
    BOOST_LEAF_CHECK(readOptionalDuration(table, "terms.bounds.evac", operatingLimits.evacuationTimeout));
    BOOST_LEAF_ASSIGN(operatingLimits.coldExcessFactor,
        readAmount(table, "terms.bounds.cold_excess", operatingLimits.coldExcessFactor));
    BOOST_LEAF_ASSIGN(operatingLimits.coldExcessRequests,
        readAmount(table, "terms.bounds.cold_slack", operatingLimits.coldExcessRequests));
    return operatingLimits;
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
    BOOST_LEAF_ASSIGN(settings.name.value, Internal::readString(table, "self.node_name"));
    BOOST_LEAF_ASSIGN(settings.address, Internal::readString(table, "self.ip"));
    BOOST_LEAF_ASSIGN(settings.zone.value, Internal::readString(table, "self.zone"));
    BOOST_LEAF_ASSIGN(settings.region.value, Internal::readString(table, "self.region"));
    BOOST_LEAF_ASSIGN(settings.callerEndpoint, Internal::readEndpoint(table, "network.listen.front"));
    BOOST_LEAF_ASSIGN(settings.readinessEndpoint, Internal::readEndpoint(table, "network.listen.ready"));
    // The outer "platform" table holds one table per kind of platform service; the inner one is the store.
    BOOST_LEAF_ASSIGN(settings.storeEndpoint, Internal::readEndpoint(table, "platform.platform.address"));
    settings.firstInternalPort = table.at_path("network.internal_ports[0]").value_or(std::uint16_t(0));
    settings.lastInternalPort = table.at_path("network.internal_ports[1]").value_or(std::uint16_t(0));
    BOOST_LEAF_ASSIGN(settings.seeds, Internal::readSeeds(table));
    settings.isFirstStart = table.at_path("self.bootstrap").value_or(false);
    settings.cpuShare = table.at_path("self.limits.cpu_share").value_or(settings.cpuShare);
    constexpr double maxLinkMegabits = 1e9;
    settings.linkMegabits = static_cast<unsigned>(
        std::clamp(table.at_path("self.limits.link_mbps").value_or(0.0), 0.0, maxLinkMegabits));
    settings.memoryMegabytes = table.at_path("self.limits.memory_mb").value_or(settings.memoryMegabytes);
    settings.maxFileDescriptors = table.at_path("self.limits.max_fds").value_or(settings.maxFileDescriptors);
    BOOST_LEAF_ASSIGN(settings.operatingLimits, Internal::readOperatingLimits(table));
    Internal::readZones(table, settings);
    return settings;
}

} // namespace Platform
