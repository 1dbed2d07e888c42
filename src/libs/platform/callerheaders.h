#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <optional>

namespace Platform {

/// Values of the platform's headers in a request from a caller.
struct CallerHeaders {
    /// Unique for each attempt of a caller; a caller's own retry has another id.
    Utils::RequestId requestId;
    /// How long the caller waits for the response, from the time of sending. The header's name says
    /// \e deadline, its value is a duration.
    std::optional<Utils::Duration> timeout;
    /// Routing key of a request for a keyed service.
    std::optional<std::uint16_t> key;
};

} // namespace Platform
