#pragma once

#include <edge/node.h>
#include <platform/storepage.h>

#include <vector>

/// Applies records of the store to the cluster view of this VM.
namespace Edge {

/// Applies records of the operator: of configurations the highest version that was read is in force, of
/// evacuations the last record of each zone.
void applyOperatorRecords(Node& node, const std::vector<Platform::StoreRecord>& records);

/// Applies a snapshot of the operator's topic, which ends the evacuations that it lacks.
void applyOperatorSnapshot(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end);

/// Applies reports of upstreams. Those of services that the configuration in force does not name are kept for
/// a later one.
void applyUpstreamReports(Node& node, const std::vector<Platform::StoreRecord>& records);

/// Applies the newest report of every upstream; known upstreams that are not in \a records are missing.
void applyUpstreamSnapshot(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end);

/// Marks the upstream \a id as expired, as the leader reported, unless a report after \a offset is known.
void applyUpstreamRemoval(Node& node, const Utils::UpstreamId& id, Utils::Offset offset);

/// Applies key assignments; the newest of each service is in force.
void applyAssignments(Node& node, const std::vector<Platform::StoreRecord>& records);

/// Puts \a assignment in force unless a later one is in force.
void applyAssignment(Node& node, const Granting::KeyAssignment& assignment);

/// Applies an encoded Granting::AssignmentDelta. Returns false if it is not based on the assignment in force.
bool applyAssignmentDelta(Node& node, const std::string& text);

/// Expires missing upstreams whose grace period has ended.
void expireMissingUpstreams(Node& node);

} // namespace Edge
