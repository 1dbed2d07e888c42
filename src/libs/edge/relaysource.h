#pragma once

#include <edge/relaylinks.h>
#include <relay/subscription.h>

/// What the leader, or a VM that reads the store itself, does for the VMs that rely on it.
namespace Edge::Internal {

/// Whether this VM may pass on what it reads: it leads, or it reads the store itself without trouble.
bool isRelaySource(const Node& node);

/// Whether this VM leads or others rely on it.
bool isRelaying(const Node& node);

/// Passes \a records on, or only the word that this VM is there.
void sendUpdateToSubscribers(Node& node, std::vector<Relay::RelayRecord> records);

/// Sends what the VM behind \a link has missed, or who leads if this VM has not read the store lately.
void handleSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription);

/// Takes an encoded report of load.
void handleLoadReport(Node& node, const std::string& report);

} // namespace Edge::Internal
