#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <optional>

namespace Platform {

/// What a caller said of its request besides what it asks for.
struct CallerHeaders {
    /// Unique for each attempt of a caller; a caller's own repeat has another.
    Utils::RequestId requestId;
    /// How long the caller will wait from the time of sending.
    std::optional<Utils::Duration> timeout;
    /// The key that the request is about, for a keyed service.
    std::optional<std::uint16_t> key;
};

} // namespace Platform
