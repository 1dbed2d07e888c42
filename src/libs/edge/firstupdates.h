#pragma once

#include <edge/relaylinks.h>
#include <relay/subscription.h>

/// The records that a VM needs when it subscribes.
///
/// Load pattern: all VMs restart at once and each needs all records, or all lose the leader at once and each
/// needs about the same ones. To encode an update costs milliseconds of a core, so it is kept until there is
/// a new record.
namespace Edge::Internal {

/// The records of the operator's topic from the offset \a from on.
std::vector<Relay::RelayRecord> findMissedOperatorRecords(const Node& node, Utils::Offset from);

/// Sends the records that the subscriber at the other end of \a link has not read.
void sendFirstUpdate(Node& node, const LinkPtr& link, const Relay::Subscription& subscription);

/// Called when there is a new record.
void dropFirstUpdates(Node& node);

} // namespace Edge::Internal
