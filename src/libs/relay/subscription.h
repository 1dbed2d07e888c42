#pragma once

#include <utils/ids.h>

namespace Relay {

/// A VM's wish to be told what is new.
struct Subscription {
    Utils::VmId vm;
    /// First offset that it has not read, by topic.
    Utils::Offset configurations = 0;
    Utils::Offset reports = 0;
    Utils::Offset assignments = 0;
    /// The store is in the VM's own region.
    bool storeIsLocal = false;

    bool operator==(const Subscription&) const = default;
};

} // namespace Relay
