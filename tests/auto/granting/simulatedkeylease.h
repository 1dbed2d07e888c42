#pragma once

#include <routing/keyspan.h>
#include <utils/time.h>

#include <cstdint>

namespace GrantTest {

/// Keys that an upstream holds.
struct SimulatedKeyLease {
    Routing::KeySpan span;
    std::uint64_t token = 0;
    Utils::Instant expiry;
};

} // namespace GrantTest
