#pragma once

#include <relay/loadframe.h>
#include <edge/relaylinks.h>
#include <relay/subscription.h>

/// The part of the relay that runs on the leader, or on another VM that reads the store, for its subscribers.
namespace Edge::Internal {

/// Whether this VM can be a relay source: it is the leader, or its own reads of the store have succeeded
/// recently.
bool isRelaySource(const Node& node);

/// Whether this VM is the leader or has subscribers.
bool isRelaying(const Node& node);

/// Sends \a records to all subscribers; without records the update is a heartbeat.
void sendUpdateToSubscribers(Node& node, std::vector<Relay::RelayRecord> records);

/// Subscribes the VM at the other end of \a link and sends the records that it has missed. If this VM is not
/// a source, it names the leader instead.
void handleSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription);

/// Applies an encoded Granting::LoadReport.
void handleLoadReport(Node& node, const Relay::LoadFrame& frame);

} // namespace Edge::Internal
