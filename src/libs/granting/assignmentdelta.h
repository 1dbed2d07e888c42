#pragma once

#include <granting/keyassignment.h>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Granting {

/// What changed from one version of an assignment to another. VMs that do not lead need no tokens and former
/// holders, so that they are left out: at 150 upstreams an assignment has tens of kilobytes, and few of its
/// segments change.
struct AssignmentDelta {
    Utils::ServiceId service;
    std::uint64_t baseTerm = 0;
    std::uint64_t baseVersion = 0;
    std::uint64_t term = 0;
    std::uint64_t version = 0;
    /// Segments that are new or have another holder or state.
    std::vector<Segment> segments;

    bool operator==(const AssignmentDelta&) const = default;
};

AssignmentDelta computeDelta(const KeyAssignment& base, const KeyAssignment& next);

/// \a base with the changes; nothing if \a delta is not from it.
std::optional<KeyAssignment> applyDelta(const KeyAssignment& base, const AssignmentDelta& delta);

std::string encodeDelta(const AssignmentDelta& delta);

/// Fails with a RecordError.
boost::leaf::result<AssignmentDelta> decodeDelta(std::string_view text);

} // namespace Granting
