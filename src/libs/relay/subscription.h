#pragma once

#include <utils/ids.h>

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

    bool operator==(const Subscription&) const = default;
};

} // namespace Relay
