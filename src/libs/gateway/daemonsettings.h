#pragma once

#include <logging/level.h>
#include <settings/endpoint.h>
#include <settings/settingsreader.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Gateway {

/// Checked settings of one instance.
struct DaemonSettings {
    Utils::VmId name;
    Utils::ZoneId zone;
    Utils::RegionId region;
    std::string address;
    std::uint16_t callerPort = 0;
    /// TCP for data links, UDP for control datagrams.
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    Settings::Endpoint log;
    Settings::Endpoint vmList;
    std::string logStream;
    Utils::Duration logRetention {};
    Logging::Level logLevel = Logging::Level::Info;
    /// Callers' connections held at a time.
    std::uint64_t maxCallerConnections = 0;
    /// Requests in hand at a time, as entry and as dispatcher each.
    std::uint64_t maxRequests = 0;
    /// Bytes of request bodies held at a time.
    std::uint64_t maxBodyBytes = 0;
};

/// The settings that the daemon takes.
const std::vector<Settings::SettingSpec>& daemonSettingSpecs();

/// Checks \a values, which readSettings() gave for daemonSettingSpecs(). Errors: SettingFault.
boost::leaf::result<DaemonSettings> checkDaemonSettings(const Settings::SettingValues& values);

} // namespace Gateway
