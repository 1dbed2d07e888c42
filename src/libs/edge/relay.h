#pragma once

#include <edge/node.h>
#include <relay/relayrecord.h>

/// Relays new records of the store from the leader to all other VMs. While no leader is reachable, VMs with a
/// local store relay to VMs with a remote store.
namespace Edge {

/// Listens for links of other VMs, and keeps a link to the leader while this VM is not the leader.
/// Throws boost::system::system_error if the address can't be listened on.
void startRelay(Node& node);

/// Handles a read of the leader topic. After the first one the other topics are read, from the leader or from
/// the store.
void handleLeaderTopicRead(Node& node);

/// Queues a record that changed the cluster view, to be relayed to subscribers.
void queueForRelay(Node& node, Relay::RelayRecord record);

/// Queues the difference between \a next and \a previous, which the subscribers have.
void queueAssignmentChange(Node& node, const Granting::KeyAssignment& previous,
    const Granting::KeyAssignment& next, Utils::Offset offset);

/// Sends the queued records to the subscribers; called after a batch of records.
void flushRelay(Node& node);

/// Reports the requests by key since the last report to the leader, or applies them if this VM is the leader.
void reportLoad(Node& node);

/// Tells the subscribers of this VM who the leader is, so that they subscribe to it; called when this VM has
/// itself subscribed to a source.
void redirectSubscribersToLeader(Node& node);

/// Reports to the leader that \a upstream has terminated; \a offset is the offset of its last known report.
void reportTermination(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset);

/// Closes the links of other VMs; called when this VM is no longer the leader.
void disconnectSubscribers(Node& node);

} // namespace Edge
