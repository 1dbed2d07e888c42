#pragma once

#include <utils/ids.h>

namespace Granting {

/// An upstream that keys can be placed on.
struct PlacementTarget {
    Utils::UpstreamId id;
    /// Requests per second that it can serve.
    double capacity = 1;
};

} // namespace Granting
