#pragma once

#include <utils/ids.h>

namespace Granting {

/// An upstream that can hold keys.
struct PlacementTarget {
    Utils::UpstreamId id;
    /// Requests a second that it can serve.
    double capacity = 1;
};

} // namespace Granting
