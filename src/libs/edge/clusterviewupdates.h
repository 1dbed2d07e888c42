#pragma once

#include <edge/node.h>
#include <platform/storepage.h>

#include <vector>

/// How what is read from the store changes what this VM believes.
namespace Edge {

/// Records of the operator; the highest version read is in force.
void applyConfigurations(Node& node, const std::vector<Platform::StoreRecord>& records);

/// Reports of upstreams.
void applyUpstreamReports(Node& node, const std::vector<Platform::StoreRecord>& records);

/// The newest report of every upstream; those that are not among them are missing.
void applyUpstreamSnapshot(Node& node, const std::vector<Platform::StoreRecord>& records, Utils::Offset end);

/// The leader has found \a id missing for good.
void applyUpstreamRemoval(Node& node, const Utils::UpstreamId& id, Utils::Offset offset);

/// Records of who holds which keys; the newest of each service is in force.
void applyAssignments(Node& node, const std::vector<Platform::StoreRecord>& records);

/// Puts \a assignment in force unless a later one is.
void applyAssignment(Node& node, const Granting::KeyAssignment& assignment);

/// Takes what changed in an assignment; false if it does not build on the one in force.
bool applyAssignmentDelta(Node& node, const std::string& text);

/// Ends the grace of upstreams that are missing.
void expireMissingUpstreams(Node& node);

} // namespace Edge
