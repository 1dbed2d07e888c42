#pragma once

#include <edge/relaylinks.h>
#include <relay/sourcesearch.h>
#include <relay/subscription.h>

#include <optional>
#include <string>
#include <vector>

/// This VM's part in the tree of relays; see relay/relaytree.h.
namespace Edge::Internal {

/// Whether the fleet has relays.
bool isLargeFleet(const Node& node);

/// Whether the store is in another region.
bool isStoreRemote(const Node& node);

Relay::SearchSituation searchSituation(const Node& node);

/// Whether this VM reads the store, also for others, while there is no leader.
bool isStoreReader(const Node& node);

/// On the leader: the address of the relay for a VM that asks to subscribe, or nothing if it is to be served.
std::optional<std::string> findRelayFor(Node& node, const Relay::Subscription& subscription);

/// On the leader: if it serves more VMs than it is to, redirects one that relays to no others and has clearly
/// less capacity than \a newcomer.
void makeRoomFor(Node& node, const LinkPtr& newcomer);

/// Whether this VM relays to VMs that the leader has redirected to it.
bool isRelay(const Node& node);

/// Addresses of the VMs that receive records through this one.
std::vector<std::string> relayedAddresses(const Node& node);

/// Records which VMs receive records through the subscriber at the other end of \a link.
void recordRelayedMembers(Node& node, const LinkPtr& link, const std::vector<std::string>& addresses);

/// Subscribes to the VM that the leader has named.
void subscribeToRelay(Node& node, const std::string& address);

/// Records the loss of \a link. If it was to a relay that \a isSilent or has sent no update, the leader is to
/// serve this VM itself.
void recordRelayLost(Node& node, const RelayLink& link, bool isSilent);

/// Whether a relay has failed to serve this VM recently.
bool hasRelayFailed(const Node& node);

} // namespace Edge::Internal
