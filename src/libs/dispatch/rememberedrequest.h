#pragma once

#include <dispatch/requestphase.h>
#include <requests/work.h>
#include <utils/time.h>

#include <cstdint>
#include <string>

namespace Dispatch {

/// A non-idempotent request that was accepted.
struct RememberedRequest {
    RequestPhase phase = RequestPhase::Active;
    /// The work that was accepted under this id.
    Requests::WorkId work;
    std::string caller;
    std::uint64_t contentDigest = 0;
    /// Bytes of its stored answer; only with \c stored.
    std::uint64_t storedBytes = 0;
    bool stored = false;
    /// When it is forgotten; only once it is no longer active.
    Utils::Instant expires {};
};

} // namespace Dispatch
