#pragma once

#include <placement/vmcandidate.h>

namespace Membership {

/// A VM that is alive, as the one who proposes sees it.
struct VmCandidate {
    Placement::VmCandidate place;
    /// Whether it is on its way out and gets no duties.
    bool leaving = false;
};

} // namespace Membership
