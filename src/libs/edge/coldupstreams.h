#pragma once

#include <edge/node.h>
#include <platform/serverheaders.h>

#include <optional>

/// Knows which upstreams are cold, and keeps the requests of all VMs to them within the configured rate; see
/// Balancing::RequestLimit for the decisions.
namespace Edge {

/// Records for how long the process of \a upstream that started at \a startTimeMs says that it is cold.
void recordColdTime(Node& node, const Utils::UpstreamId& upstream, std::uint64_t startTimeMs,
    const Platform::ServerHeaders& headers);

/// Records that \a upstream refused a connection: its process may have ended.
void recordConnectionRefused(Node& node, const Utils::UpstreamId& upstream);

/// Records a new connection to \a upstream.
void recordConnectionMade(Node& node, const Utils::UpstreamId& upstream);

/// When the evacuation of the availability zone of \a upstream ended; its upstreams may have become cold
/// unnoticed before. Empty if none has ended.
std::optional<Utils::Instant> takenBackAt(const Node& node, const Routing::DirectoryEntry& upstream);

/// Until when \a upstream is taken to be cold; in the past if it is not.
Utils::Instant coldEnd(const Node& node, const Routing::DirectoryEntry& upstream);

/// The requests that \a upstream takes while it is cold, with this VM's current share, or null if it is not
/// cold or takes any number.
Balancing::RequestLimit* findColdBudget(Node& node, const Utils::UpstreamId& upstream, Utils::Instant at);

/// Number of upstreams whose budget is in force.
std::size_t countColdUpstreams(const Node& node);

} // namespace Edge
