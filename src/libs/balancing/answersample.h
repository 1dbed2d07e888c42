#pragma once

#include <routing/toldload.h>
#include <utils/time.h>

#include <optional>

namespace Balancing {

/// What one whole answer of an upstream shows.
struct AnswerSample {
    Utils::Duration latency {};
    /// Mean latency of requests on the same route; nothing for the route's first answer.
    std::optional<Utils::Duration> usual;
    /// The load that came with the answer.
    std::optional<Routing::ToldLoad> told;
    /// Not a failure of the upstream.
    bool good = true;
};

} // namespace Balancing
