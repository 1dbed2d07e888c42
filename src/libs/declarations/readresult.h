#pragma once

#include <declarations/configuration.h>
#include <declarations/fault.h>

#include <optional>
#include <vector>

namespace Declarations {

/// A checked configuration, or all that is wrong with the set.
struct ReadResult {
    /// Present exactly when there are no faults.
    std::optional<Configuration> configuration;
    std::vector<Fault> faults;
};

} // namespace Declarations
