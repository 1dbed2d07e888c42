#pragma once

#include <vector>

namespace Placement::Internal {

/// Loads over capacity that are good enough.
struct LoadTargets {
    /// Upper bound of the worst upstream, of the next, and so on.
    std::vector<double> upper;
    /// Lower bound of the lightest upstream.
    double lower = 0;
};

} // namespace Placement::Internal
