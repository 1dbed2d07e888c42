#pragma once

namespace Routing {

/// The load that an upstream reports with a response.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;

    bool operator==(const ReportedLoad&) const = default;
};

} // namespace Routing
