#pragma once

#include <routing/operatinglimits.h>
#include <routing/endpoint.h>
#include <utils/ids.h>

#include <cstdint>
#include <map>

namespace Routing {

/// Where one VM stands and what it may use.
struct VmSettings {
    Utils::VmId name;
    std::string address;
    Utils::ZoneId zone;
    Utils::RegionId region;
    std::map<Utils::ZoneId, Utils::RegionId> regionByZone;
    /// Where callers connect.
    Endpoint callerEndpoint;
    /// Where the platform asks whether this VM takes new callers.
    Endpoint readinessEndpoint;
    /// First of the ports that are free for traffic between VMs.
    std::uint16_t firstInternalPort = 0;
    std::uint16_t lastInternalPort = 0;
    Endpoint storeEndpoint;
    /// Part of a core that this VM has.
    double cpuShare = 0.2;
    unsigned memoryMegabytes = 256;
    unsigned maxFileDescriptors = 1024;
    OperatingLimits operatingLimits;
};

} // namespace Routing
