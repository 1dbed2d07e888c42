#pragma once

#include <relay/loadframe.h>
#include <edge/relaylinks.h>
#include <relay/subscription.h>
#include <relay/terminationframe.h>
#include <relay/update.h>

/// The part of the relay that runs on the leader, or on another VM that reads the store, for its subscribers.
namespace Edge::Internal {

/// Whether this VM can be a relay source: it is the leader, or its own reads of the store have succeeded
/// recently.
bool isRelaySource(const Node& node);

/// Whether this VM gets its records from another one.
bool isReceiving(const Node& node);

/// Whether this VM is the leader or has subscribers.
bool isRelaying(const Node& node);

/// Links of the VMs that have subscribed to this one.
std::vector<LinkPtr> subscribedLinks(const Node& node);

/// Addresses of subscribers with a local store, which can relay to VMs with a remote store, or of all
/// subscribers if there are none; those with more capacity first. At most as many as a VM may need
/// to find one that is running.
std::vector<std::string> subscriberAddresses(const Node& node);

Relay::Update makeUpdate(const Node& node, std::vector<Relay::RelayRecord> records);

/// Sends \a records to all subscribers; without records the update is a heartbeat.
void sendUpdateToSubscribers(Node& node, std::vector<Relay::RelayRecord> records);

/// Sends who the leader is, and which \a relay to subscribe to if it is not empty.
void sendRedirect(Node& node, const LinkPtr& link, std::string relay);

/// Subscribes the VM at the other end of \a link and sends the records that it has missed. If this VM is not
/// a source, it names the leader instead.
void handleSubscription(Node& node, const LinkPtr& link, const Relay::Subscription& subscription);

/// Applies a load report of a subscriber, or adds it to the next one of this VM.
void handleLoadReport(Node& node, const LinkPtr& link, const Relay::LoadFrame& frame);

/// Handles the report of a subscriber that an upstream has terminated, and passes it on to the source.
void handleRelayedTermination(Node& node, const Relay::TerminationFrame& termination);

} // namespace Edge::Internal
