#pragma once

#include <cstdint>
#include <string>

namespace Settings {

/// An IP number and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

} // namespace Settings
