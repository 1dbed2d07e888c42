#pragma once

#include <edge/node.h>
#include <relay/relayrecord.h>

/// Passing on what is new in the store, from the leader to all other VMs, and for those far from the store
/// from any near it while there is no leader to rely on.
namespace Edge {

/// Listens for other VMs, and keeps a link to the leader while this VM does not lead.
/// Throws boost::system::system_error if it can't listen.
void startRelay(Node& node);

/// The leader's topic has been read: if this is the first time, what else is needed is taken from the leader
/// or read from the store.
void handleLeaderTopicRead(Node& node);

/// Notes a record that changed something; the leader passes it on.
void queueForRelay(Node& node, Relay::RelayRecord record);

/// Notes an assignment of which the VMs that take part know \a former; they are told what has changed.
void queueAssignmentChange(Node& node, const Granting::KeyAssignment& former,
    const Granting::KeyAssignment& next, Utils::Offset offset);

/// Sends what queueForRelay() noted; called after a batch.
void flushRelay(Node& node);

/// Tells the leader, or takes as the leader, which keys callers asked for.
void reportLoad(Node& node);

/// Tells the VMs that rely on this one who leads, so that they turn there; called when this VM relies on a
/// leader.
void redirectSubscribersToLeader(Node& node);

/// Tells the leader that \a upstream has ended, as far as its report at \a offset.
void reportTermination(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset);

/// Ends the links of other VMs; called when this VM no longer leads.
void disconnectSubscribers(Node& node);

} // namespace Edge
