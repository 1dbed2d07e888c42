#pragma once

#include <utils/ids.h>

#include <cstdint>
#include <map>

namespace Granting {

/// Number of requests for each key of one service since the last report.
struct ServiceKeyCounts {
    Utils::ServiceId service;
    std::map<std::uint16_t, std::uint16_t> counts;

    bool operator==(const ServiceKeyCounts&) const = default;
};

} // namespace Granting
