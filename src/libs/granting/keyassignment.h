#pragma once

#include <granting/segment.h>

#include <cstdint>
#include <vector>

namespace Granting {

/// Assignment of the keys of one service to upstreams, as recorded in the store.
struct KeyAssignment {
    Utils::ServiceId service;
    /// Term of the leader that wrote it.
    std::uint64_t term = 0;
    std::uint64_t version = 0;
    /// In key order, without gaps; empty before the first assignment.
    std::vector<Segment> segments;

    bool operator==(const KeyAssignment&) const = default;
};

/// Returns the segment that contains \a key, or null.
const Segment* findSegment(const KeyAssignment& assignment, std::uint16_t key);

} // namespace Granting
