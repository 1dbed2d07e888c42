#pragma once

#include <settings/endpoint.h>
#include <utils/ids.h>

namespace Gateway {

/// Where a VM of the system is.
struct VmPlace {
    Settings::Endpoint peer;
    Utils::RegionId region;
    Utils::ZoneId zone;
    bool leaving = false;

    bool operator==(const VmPlace&) const = default;
};

} // namespace Gateway
