#pragma once

#include <granting/segment.h>

#include <cstdint>
#include <vector>

namespace Granting {

/// Who is to hold which keys of one service, as it stands in the store.
struct KeyAssignment {
    Utils::ServiceId service;
    /// Term of the leader that wrote it.
    std::uint64_t term = 0;
    std::uint64_t version = 0;
    /// In the order of keys, without gaps; empty before the first assignment.
    std::vector<Segment> segments;

    bool operator==(const KeyAssignment&) const = default;
};

/// The segment of \a key, or null.
const Segment* findSegment(const KeyAssignment& assignment, std::uint16_t key);

} // namespace Granting
