#pragma once

#include <edge/node.h>

namespace Edge {

/// Records that \a other responded at \a endpoint, where \a upstream was called, so that \a upstream has
/// terminated unless it has moved to another address since. This VM stops sending requests to it at once, the
/// other VMs when the leader has relayed the change, and its keys can be granted to other upstreams.
///
/// Load pattern: many upstreams become unresponsive together and their addresses are assigned to another
/// service, which would see every request for their keys as a retry.
void recordAddressReuse(Node& node, const Utils::UpstreamId& upstream, const Routing::Endpoint& endpoint,
    const Utils::UpstreamId& other);

/// Applies a report that \a upstream has terminated, unless a report of the upstream after \a offset is
/// known.
void handleTerminationReport(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset);

} // namespace Edge
