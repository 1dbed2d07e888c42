#pragma once

#include <agreement/vmstart.h>
#include <utils/ids.h>

namespace Placement {

/// A VM that may dispatch: on the list, not leaving, and heard from in this start.
struct VmCandidate {
    Agreement::VmStart start;
    Utils::ZoneId zone;
    Utils::RegionId region;

    bool operator==(const VmCandidate&) const = default;
};

} // namespace Placement
