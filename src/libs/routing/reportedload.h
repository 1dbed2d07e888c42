#pragma once

#include <optional>

namespace Routing {

/// The load that an upstream reports with a response.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    /// How much longer work takes there at this moment than usual, as a factor; empty if the upstream does
    /// not say.
    std::optional<double> workFactor {};

    bool operator==(const ReportedLoad&) const = default;
};

} // namespace Routing
