#pragma once

#include <utils/ids.h>

#include <cstdint>

namespace Relay {

/// Asks a relay source to send new records; the first frame of a subscriber.
struct Subscription {
    Utils::VmId vm;
    /// First offset of each topic that the VM has not read.
    Utils::Offset configurations = 0;
    Utils::Offset reports = 0;
    Utils::Offset assignments = 0;
    /// The store is in the region of the VM.
    bool storeIsLocal = false;
    Utils::ZoneId zone;
    /// The VM subscribes to the relay that an update names. False for VMs of former builds.
    bool followsRedirects = false;
    /// The leader has named the receiver as the relay of this VM.
    bool isRedirected = false;
    /// Number of VMs that receive records through this one.
    std::uint32_t subscribers = 0;
    /// The relay that the leader has named did not serve this VM, so that the leader is to.
    bool relayFailed = false;
    /// Share of a core of the VM, in percent.
    std::uint8_t cpuPercent = 0;
    /// Bandwidth of the link of the VM in Mbit/s; 0 if it is not known.
    std::uint32_t linkMegabits = 0;

    bool operator==(const Subscription&) const = default;
};

} // namespace Relay
