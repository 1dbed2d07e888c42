#pragma once

#include <agreement/agreedstate.h>
#include <declarations/configuration.h>

#include <optional>

namespace Agreement {

/// The state of a reader of the log.
struct LogState {
    AgreedState agreed;
    /// The configuration in force, read from \c agreed.configurationText.
    std::optional<Declarations::Configuration> configuration;

    bool operator==(const LogState&) const = default;
};

} // namespace Agreement
