#pragma once

#include <edge/relaylinks.h>
#include <relay/subscription.h>

/// What the leader does for the VMs that rely on it.
namespace Edge::Internal {

/// Passes \a records on, or only the word that the leader is there.
void sendToAll(Node& node, std::vector<Relay::RelayRecord> records);

/// Sends what the VM behind \a link has missed, or who leads if this VM does not.
void takeSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription);

/// Takes an encoded report of load.
void takeLoad(Node& node, const std::string& report);

} // namespace Edge::Internal
