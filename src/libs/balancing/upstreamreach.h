#pragma once

#include <balancing/reachstate.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <cstddef>
#include <map>
#include <vector>

namespace Balancing {

/// What the links of one VM to all upstreams tell together.
///
/// Load pattern: a VM is partitioned from all upstreams while callers, the store and the other VMs reach it.
/// Its connections hang or are reset, or live on while new ones are refused, so that only new connections
/// count as a success.
struct UpstreamReach {
    ReachState state = ReachState::Reaching;
    /// When an upstream was last connected to.
    Utils::Instant connectedAt {};
    /// Upstreams that failed since, and when each did last.
    std::map<Utils::UpstreamId, Utils::Instant> failures;
    /// Probes that failed since the state changed.
    std::size_t failedProbes = 0;
    /// When probes were last started.
    Utils::Instant probedAt {};
    /// When the state last changed.
    Utils::Instant changedAt {};
};

/// Number of different upstreams whose failures raise the suspicion, and of probes that confirm it.
inline constexpr std::size_t failuresToSuspect = 3;
inline constexpr std::size_t probesToConfirm = 3;
/// Older failures are forgotten.
inline constexpr Utils::Duration failureRetention = std::chrono::milliseconds(1500);
/// Time between the rounds of probes of a suspicion; limits the connections that failures of single upstreams
/// cost.
inline constexpr Utils::Duration suspicionInterval = std::chrono::milliseconds(1000);
/// Time between probes while the reach is lost; a small part of the second within which all is served again.
inline constexpr Utils::Duration lostProbeInterval = std::chrono::milliseconds(250);
/// A probe without a connection by then has failed: several round trips between regions.
inline constexpr Utils::Duration probeTimeout = std::chrono::milliseconds(300);

/// Records that a connection to an upstream was established. Returns whether the reach had been lost.
bool recordConnected(UpstreamReach& reach, Utils::Instant now);

/// Records that an attempt at \a upstream, begun at \a startedAt, found no connection, lost it or was left
/// without a response.
void recordLinkFailure(
    UpstreamReach& reach, const Utils::UpstreamId& upstream, Utils::Instant startedAt, Utils::Instant now);

/// Number of probes to start at \a now. Records them as started.
std::size_t startProbes(UpstreamReach& reach, Utils::Instant now);

/// Records that a probe begun at \a startedAt found no connection. Returns whether the reach is lost with it.
bool recordProbeFailed(UpstreamReach& reach, Utils::Instant startedAt, Utils::Instant now);

} // namespace Balancing
