#pragma once

#include <balancing/candidate.h>
#include <edge/node.h>
#include <platform/serverheaders.h>

#include <optional>
#include <vector>

/// Keeps the pauses that upstreams ask for when they reject a request.
namespace Edge {

/// Records the pause that a rejection of the process of \a upstream that started at \a startTimeMs names.
void recordNamedPause(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs,
    const Platform::ServerHeaders& headers);

/// Until when nothing may be sent to \a upstream; a time in the past if it has asked for no pause.
Utils::Instant pauseEnd(const Node& node, const Utils::UpstreamId& upstream);

/// Removes the candidates that have asked for a pause. Returns after what time the caller of \a exchange may
/// find one of them again; nothing if none was removed.
std::optional<Utils::Duration> removePaused(
    Node& node, const Exchange& exchange, std::vector<Balancing::Candidate>& candidates, Utils::Instant now);

/// Number of upstreams that have asked for a pause.
std::size_t countPausedUpstreams(const Node& node);

} // namespace Edge
