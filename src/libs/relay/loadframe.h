#pragma once

#include <string>

namespace Relay {

/// A VM's report of load, encoded.
struct LoadFrame {
    std::string report;

    bool operator==(const LoadFrame&) const = default;
};

} // namespace Relay
