#pragma once

#include <utils/time.h>

#include <cstdint>
#include <optional>

/// Pauses that upstreams ask for when they reject a request.
namespace Balancing {

/// Longer pauses are cut to this. A pause ends earlier with the process that named it.
inline constexpr Utils::Duration maxUpstreamPause = std::chrono::hours(24);
/// The VMs return to an upstream spread over this time.
inline constexpr Utils::Duration resumeSpread = std::chrono::milliseconds(300);
/// Rejected callers are asked to return spread over this share of the pause that is left, at most a second.
inline constexpr double returnSpreadShare = 0.25;
inline constexpr Utils::Duration maxReturnSpread = std::chrono::seconds(1);
/// Callers are not asked to stay away for longer, as another upstream may start meanwhile.
inline constexpr Utils::Duration maxReturnDelay = std::chrono::minutes(1);

/// Returns until when this VM sends nothing to an upstream that names a pause of \a named at \a now. A longer
/// pause in force, until \a current, stays.
/// \param phase 0 to 1; differs between VMs.
///
/// Load pattern: all upstreams of a service name the same pause at once, and all VMs return at its end.
Utils::Instant extendPause(Utils::Instant current, Utils::Duration named, double phase, Utils::Instant now);

/// Returns after what time a rejected caller is asked to return if the pause ends at \a until.
/// \param phase 0 to 1; differs between requests.
Utils::Duration returnDelay(Utils::Instant until, double phase, Utils::Instant now);

} // namespace Balancing
