#pragma once

#include <cstdint>
#include <string>

namespace LogService {

/// Where a service of the platform listens.
struct Endpoint {
    /// IP number.
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
};

} // namespace LogService
