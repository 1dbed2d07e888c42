#include <gateway/daemonsettings.h>

#include <settings/settingvalue.h>

#include <optional>

namespace Gateway {

namespace Internal {

namespace leaf = boost::leaf;

constexpr std::uint64_t highestPort = 65535;
constexpr std::uint64_t maxConnectionSetting = 100'000;
constexpr std::uint64_t maxRequestSetting = 1'000'000;
constexpr std::uint64_t maxBodySetting = 65536;
constexpr std::uint64_t bytesPerMebibyte = 1 << 20;
constexpr std::uint64_t maxRetentionSeconds = 366ULL * 24 * 3600;

leaf::result<std::uint16_t> portValue(const Settings::SettingValues& values, const std::string& name)
{
    BOOST_LEAF_AUTO(port, Settings::numberValue(name, values.at(name), 1, highestPort));
    return static_cast<std::uint16_t>(port);
}

leaf::result<Logging::Level> levelValue(const Settings::SettingValues& values, const std::string& name)
{
    const std::string& text = values.at(name);
    const std::optional<Logging::Level> level = Utils::enumFromName(Logging::levelNames, text);
    if (!level) {
        return leaf::new_error(Settings::SettingFault {
            Settings::SettingError::NotAllowed, name, text, "debug, info, warning or error" });
    }
    return *level;
}

leaf::result<void> readPlace(const Settings::SettingValues& values, DaemonSettings& settings)
{
    BOOST_LEAF_ASSIGN(settings.name.value, Settings::nameValue("name", values.at("name")));
    BOOST_LEAF_ASSIGN(settings.zone.value, Settings::nameValue("zone", values.at("zone")));
    BOOST_LEAF_ASSIGN(settings.region.value, Settings::nameValue("region", values.at("region")));
    BOOST_LEAF_ASSIGN(settings.address, Settings::addressValue("address", values.at("address")));
    BOOST_LEAF_ASSIGN(settings.callerPort, portValue(values, "caller-port"));
    BOOST_LEAF_ASSIGN(settings.peerPort, portValue(values, "peer-port"));
    BOOST_LEAF_ASSIGN(settings.adminPort, portValue(values, "admin-port"));
    return {};
}

leaf::result<void> readPlatform(const Settings::SettingValues& values, DaemonSettings& settings)
{
    BOOST_LEAF_ASSIGN(settings.log, Settings::endpointValue("log", values.at("log")));
    BOOST_LEAF_ASSIGN(settings.vmList, Settings::endpointValue("vm-list", values.at("vm-list")));
    BOOST_LEAF_ASSIGN(settings.logStream, Settings::nameValue("log-stream", values.at("log-stream")));
    BOOST_LEAF_AUTO(seconds,
        Settings::numberValue("log-retention-s", values.at("log-retention-s"), 1, maxRetentionSeconds));
    settings.logRetention = std::chrono::seconds(seconds);
    return {};
}

} // namespace Internal

const std::vector<Settings::SettingSpec>& daemonSettingSpecs()
{
    static const std::vector<Settings::SettingSpec> specs {
        { "name", "CROCUSFERRY_NAME", "Name of this VM in the VM list.", std::nullopt },
        { "zone", "CROCUSFERRY_ZONE", "Availability zone of this VM.", std::nullopt },
        { "region", "CROCUSFERRY_REGION", "Region of this VM.", std::nullopt },
        { "address", "CROCUSFERRY_ADDRESS", "IP number to listen on.", std::nullopt },
        { "caller-port", "CROCUSFERRY_CALLER_PORT", "TCP port for callers.", "8080" },
        { "peer-port", "CROCUSFERRY_PEER_PORT", "TCP and UDP port for other instances.", "8081" },
        { "admin-port", "CROCUSFERRY_ADMIN_PORT", "TCP port for metrics, health and status.", "8082" },
        { "log", "CROCUSFERRY_LOG", "IP:PORT of the log service.", std::nullopt },
        { "vm-list", "CROCUSFERRY_VM_LIST", "IP:PORT of the VM list.", std::nullopt },
        { "log-stream", "CROCUSFERRY_LOG_STREAM", "Stream of the log service to use.", "crocusferry" },
        { "log-retention-s", "CROCUSFERRY_LOG_RETENTION_S",
            "Seconds for which the log service keeps records.", "86400" },
        { "log-level", "CROCUSFERRY_LOG_LEVEL", "Lowest level of log lines: debug, info, warning, error.",
            "info" },
        { "max-caller-connections", "CROCUSFERRY_MAX_CALLER_CONNECTIONS",
            "Callers' connections held at a time.", "2000" },
        { "max-requests", "CROCUSFERRY_MAX_REQUESTS", "Requests in hand at a time.", "8000" },
        { "max-body-mib", "CROCUSFERRY_MAX_BODY_MIB", "MiB of request bodies held at a time.", "256" },
    };
    return specs;
}

boost::leaf::result<DaemonSettings> checkDaemonSettings(const Settings::SettingValues& values)
{
    DaemonSettings settings;
    BOOST_LEAF_CHECK(Internal::readPlace(values, settings));
    BOOST_LEAF_CHECK(Internal::readPlatform(values, settings));
    BOOST_LEAF_ASSIGN(settings.logLevel, Internal::levelValue(values, "log-level"));
    BOOST_LEAF_ASSIGN(settings.maxCallerConnections,
        Settings::numberValue("max-caller-connections", values.at("max-caller-connections"), 1,
            Internal::maxConnectionSetting));
    BOOST_LEAF_ASSIGN(settings.maxRequests,
        Settings::numberValue("max-requests", values.at("max-requests"), 1, Internal::maxRequestSetting));
    BOOST_LEAF_AUTO(mebibytes,
        Settings::numberValue("max-body-mib", values.at("max-body-mib"), 1, Internal::maxBodySetting));
    settings.maxBodyBytes = mebibytes * Internal::bytesPerMebibyte;
    return settings;
}

} // namespace Gateway
