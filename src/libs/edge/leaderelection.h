#pragma once

#include <edge/node.h>
#include <granting/loadreport.h>
#include <platform/storerecord.h>

#include <vector>

/// Election of the leader, which is the one VM that grants keys, and the periodic tasks of the leader.
namespace Edge {

/// Starts to acquire or renew the leader lease and to run the tasks of the leader, until the VM stops.
void startLeaderElection(Node& node);

/// Relative delay (0..1) with which this VM tries to acquire an expired lease. VMs with a large share of a
/// core and with a local store come first, as the leader makes most calls to the store and to holders of
/// keys.
double leaseAcquisitionJitter(const Node& node);

/// Applies records of the leader topic, in order. \a records must not be empty.
void applyLeaderRecords(Node& node, const std::vector<Platform::StoreRecord>& records);

/// Records that the leader topic ends at \a end.
void recordLeaderTopicEnd(Node& node, Utils::Offset end);

/// Records that the process of \a upstream has terminated and no longer holds keys.
void recordUpstreamTerminated(Node& node, const Utils::UpstreamId& upstream);

/// Records that \a upstream has restarted; the new process holds no keys.
void recordUpstreamRestarted(Node& node, const Utils::UpstreamId& upstream);

/// Adds the request counts that a VM reports to the load of each key.
void applyLoadReport(Node& node, const Granting::LoadReport& report);

/// Stops granting and releases the leader lease, so that another VM can acquire it at once.
/// \param reason is logged.
void resign(Node& node, const char* reason);

} // namespace Edge
