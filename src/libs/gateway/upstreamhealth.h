#pragma once

#include <utils/ids.h>
#include <utils/time.h>

#include <optional>

namespace Gateway {

/// What this VM has heard from an upstream's control endpoint.
struct UpstreamHealth {
    /// The start that answered last; 0 before the first answer.
    Utils::Incarnation incarnation = 0;
    std::optional<Utils::Instant> lastHeard;
    std::optional<Utils::Instant> firstAsked;
    Utils::Instant lastAsked {};
};

} // namespace Gateway
