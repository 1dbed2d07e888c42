#pragma once

#include <utils/ids.h>

#include <cstdint>
#include <string>

namespace Declarations {

/// One upstream server.
struct Upstream {
    Utils::UpstreamId id;
    Utils::ZoneId zone;
    /// IP number.
    std::string address;
    std::uint16_t port = 0;
    /// Requests that it runs at a time.
    unsigned slots = 2;
    /// Connections that the system may hold to it.
    unsigned connections = 120;
    /// Whether it checks the token of a request; one that doesn't is protected by its dispatcher alone.
    bool checksGrants = true;
    /// Whether it is being taken out of use: it keeps no shards and gets no new work.
    bool leaving = false;

    bool operator==(const Upstream&) const = default;
};

} // namespace Declarations
