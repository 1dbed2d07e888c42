#pragma once

#include <granting/keyassignment.h>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Granting {

/// The difference between two versions of an assignment. A new leader assigns new tokens, so a delta leaves
/// them out: an assignment for 150 upstreams takes tens of kilobytes, and few of its segments change between
/// versions. It needs the previous holders: after the store has returned from an older copy, a VM's memory
/// may be all that names them.
struct AssignmentDelta {
    Utils::ServiceId service;
    std::uint64_t baseTerm = 0;
    std::uint64_t baseVersion = 0;
    std::uint64_t term = 0;
    std::uint64_t version = 0;
    /// Segments that are new or whose holder, state or previous holders have changed.
    std::vector<Segment> segments;

    bool operator==(const AssignmentDelta&) const = default;
};

AssignmentDelta computeDelta(const KeyAssignment& base, const KeyAssignment& next);

/// Returns \a base with the changes applied, or nothing if \a delta was computed from another assignment.
std::optional<KeyAssignment> applyDelta(const KeyAssignment& base, const AssignmentDelta& delta);

std::string encodeDelta(const AssignmentDelta& delta);

/// Fails with a RecordError.
boost::leaf::result<AssignmentDelta> decodeDelta(std::string_view text);

} // namespace Granting
