#pragma once

#include <routing/callerlimits.h>

#include <optional>
#include <vector>

namespace Routing {

/// The limits of the configuration in force, and of those that it has replaced recently.
struct CallerLimitHistory {
    struct Former {
        CallerLimits limits;
        Utils::Instant replacedAt;
    };

    /// Empty before the first configuration.
    std::optional<CallerLimits> current;
    std::vector<Former> former;
};

/// How long a request within the limits of a replaced configuration is still accepted. Covers the time until
/// all VMs have the next one, and that to send the request.
inline constexpr Utils::Duration formerLimitsRetention = std::chrono::seconds(10);

/// Puts \a limits in force at \a now.
void recordLimits(CallerLimitHistory& history, const CallerLimits& limits, Utils::Instant now);

/// Returns the most that a configuration in force allows, or allowed within formerLimitsRetention. Nothing
/// before the first configuration.
///
/// Load pattern: limits change while callers send, on connections that were opened before.
std::optional<CallerLimits> widestLimits(const CallerLimitHistory& history, Utils::Instant now);

} // namespace Routing
