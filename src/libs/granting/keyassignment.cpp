#include <granting/keyassignment.h>

#include <algorithm>

namespace Granting {

const Segment* findSegment(const KeyAssignment& assignment, std::uint16_t key)
{
    const auto found = std::lower_bound(assignment.segments.begin(), assignment.segments.end(), key,
        [](const Segment& segment, std::uint16_t wanted) { return segment.span.last < wanted; });
    return found == assignment.segments.end() || found->span.first > key ? nullptr : &*found;
}

} // namespace Granting
