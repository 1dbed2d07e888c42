#pragma once

#include <routing/operatinglimits.h>
#include <routing/endpoint.h>
#include <routing/workqueuemode.h>
#include <utils/ids.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// Identity, location, endpoints and resources of one VM.
struct VmSettings {
    Utils::VmId name;
    std::string address;
    Utils::ZoneId zone;
    Utils::RegionId region;
    std::map<Utils::ZoneId, Utils::RegionId> regionByZone;
    /// Endpoint that callers connect to.
    Endpoint callerEndpoint;
    /// Endpoint of the platform's readiness check for this VM.
    Endpoint readinessEndpoint;
    /// First of the ports that are reserved for traffic between VMs.
    std::uint16_t firstInternalPort = 0;
    std::uint16_t lastInternalPort = 0;
    Endpoint storeEndpoint;
    /// Addresses of a few VMs, which may be gone or not have started.
    std::vector<std::string> seeds;
    /// The whole system starts for the first time.
    bool isFirstStart = false;
    /// Added to the ports of upstreams, so that a test can run a proxy for each VM in front of them.
    std::uint16_t upstreamPortOffset = 0;
    WorkQueueMode workQueueMode = WorkQueueMode::Auto;
    /// Fraction of a CPU core that is available to this VM.
    double cpuShare = 0.2;
    /// Bandwidth of the link of this VM in Mbit/s; 0 if it is not known.
    unsigned linkMegabits = 0;
    unsigned memoryMegabytes = 256;
    unsigned maxFileDescriptors = 1024;
    OperatingLimits operatingLimits;
};

} // namespace Routing
