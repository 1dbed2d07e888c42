#pragma once

#include <edge/node.h>
#include <granting/loadreport.h>
#include <platform/storerecord.h>

#include <vector>

/// The duty of the one VM that grants keys, and of the others that stand by for it.
namespace Edge {

/// Acts on what is due, until the VM stops.
void startLeaderElection(Node& node);

/// Takes records of the leader's topic, in their order; at least one.
void applyLeaderRecords(Node& node, const std::vector<Platform::StoreRecord>& records);

/// The leader's topic ends at \a end.
void recordLeaderTopicEnd(Node& node, Utils::Offset end);

/// The process behind \a upstream has ended for good: it holds nothing any more.
void recordUpstreamTerminated(Node& node, const Utils::UpstreamId& upstream);

/// \a upstream is another process than before, which holds nothing yet.
void recordUpstreamRestarted(Node& node, const Utils::UpstreamId& upstream);

/// Takes a VM's word on which keys callers ask for.
void applyLoadReport(Node& node, const Granting::LoadReport& report);

/// Stops granting and lets another lead at once.
void resign(Node& node);

} // namespace Edge
