#pragma once

namespace Routing {

/// The load that an upstream tells with an answer.
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;

    bool operator==(const ReportedLoad&) const = default;
};

} // namespace Routing
