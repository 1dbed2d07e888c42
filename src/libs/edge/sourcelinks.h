#pragma once

#include <edge/relaylinks.h>

/// The links of this VM to its source and to VMs that may be one.
namespace Edge::Internal {

/// Whether this VM has no source and can't read all topics of the store either.
bool isDisconnectedFromLeaderAndStore(const Node& node);

/// Whether the store has not responded since this VM started.
bool isStartingWithoutStore(const Node& node, Utils::Instant at);

/// Connects to a VM to subscribe to it; \a vm is empty unless it is known to be the leader.
void connectTo(Node& node, const Utils::VmId& vm, const Routing::Endpoint& endpoint);

/// Makes the peer at the other end of the probe the source.
void promoteProbe(Node& node);

/// Maintains the link to the source: connects to the leader or to a peer, closes a link that has timed out,
/// and asks peers while the link brings nothing fresh.
void checkSourceLink(Node& node, Utils::Instant at);

} // namespace Edge::Internal
