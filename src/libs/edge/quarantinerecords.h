#pragma once

#include <edge/node.h>

/// Keeps quarantined requests in the store, so that they stay quarantined when all VMs have been restarted.
namespace Edge {

/// Called regularly on the leader: reads the records once in a term, and writes requests that have been
/// quarantined since.
void syncQuarantineRecords(Node& node, Utils::Instant at);

/// Forgets what was read and written when the VM no longer leads.
void resetQuarantineRecords(Node& node);

} // namespace Edge
