#pragma once

#include <logservice/vmstate.h>
#include <utils/ids.h>

#include <cstdint>
#include <string>

namespace LogService {

/// One VM on the platform's list, which lags.
struct VmEntry {
    Utils::VmId vm;
    Utils::ZoneId zone;
    Utils::RegionId region;
    /// IP number.
    std::string address;
    /// Port for callers.
    std::uint16_t callerPort = 0;
    /// Port for other instances.
    std::uint16_t peerPort = 0;
    VmState state = VmState::Live;

    bool operator==(const VmEntry&) const = default;
};

} // namespace LogService
