#pragma once

#include <utils/time.h>

namespace Declarations {

/// How long request ids are remembered, and when a request is held back as poison.
struct IdempotencyPolicy {
    /// Time for which a dispatcher remembers that it started a request id.
    Utils::Duration window = std::chrono::seconds(600);
    /// Upstream crashes after which a request is held back.
    unsigned poisonCrashes = 2;
    /// Time for which it is held back.
    Utils::Duration poisonHold = std::chrono::seconds(600);

    bool operator==(const IdempotencyPolicy&) const = default;
};

} // namespace Declarations
