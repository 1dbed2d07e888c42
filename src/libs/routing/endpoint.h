#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Routing {

/// An IP address and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

} // namespace Routing
