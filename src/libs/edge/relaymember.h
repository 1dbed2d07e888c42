#pragma once

#include <edge/relaylinks.h>
#include <relay/update.h>

/// What a VM does with the leader that it relies on.
namespace Edge::Internal {

/// Takes what the leader passes on, or the word of another VM on who leads.
void takeUpdate(Node& node, const LinkPtr& link, const Relay::Update& update);

/// Reads the store itself from now on.
void readStore(Node& node);

/// Keeps a link to the leader: connects, gives up a silent one, asks other VMs.
void checkLeaderLink(Node& node, Utils::Instant at);

} // namespace Edge::Internal
