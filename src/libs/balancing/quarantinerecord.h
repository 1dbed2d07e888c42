#pragma once

#include <cstddef>
#include <cstdint>

namespace Balancing {

/// A quarantined request as it is kept in the store.
struct QuarantineRecord {
    std::uint64_t fingerprint = 0;
    /// Number of upstreams that it crashed.
    std::size_t crashes = 0;
    /// Time of day of the last crash, in milliseconds since 1970.
    std::int64_t lastCrashMs = 0;

    bool operator==(const QuarantineRecord&) const = default;
};

} // namespace Balancing
