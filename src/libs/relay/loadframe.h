#pragma once

#include <string>

namespace Relay {

/// Reports which keys the callers of a VM requested.
struct LoadFrame {
    /// An encoded Granting::LoadReport.
    std::string report;

    bool operator==(const LoadFrame&) const = default;
};

} // namespace Relay
