#pragma once

#include <routing/bounds.h>
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
    std::map<Utils::ZoneId, Utils::RegionId> regionOfZone;
    /// Where callers connect.
    Endpoint callers;
    /// Where the platform asks whether this VM takes new callers.
    Endpoint readiness;
    /// First of the ports that are free for traffic between VMs.
    std::uint16_t firstInternalPort = 0;
    std::uint16_t lastInternalPort = 0;
    Endpoint store;
    /// Part of a core that this VM has.
    double coreShare = 0.2;
    unsigned memoryMegabytes = 256;
    unsigned maxDescriptors = 1024;
    Bounds bounds;
};

} // namespace Routing
