#pragma once

#include <utils/enumtable.h>
#include <utils/time.h>

#include <array>
#include <cstdint>

namespace Balancing {

/// Why a request does not wait for room any longer.
enum class QueueRejectionReason {
    /// It would miss its target, and its caller can still come back.
    MissesTarget,
    MissesDeadline,
    /// The queue holds as many requests, or as many bytes, as it may.
    QueueFull,
};

inline constexpr std::array<Utils::EnumName<QueueRejectionReason>, 3> queueRejectionReasonNames { {
    { QueueRejectionReason::MissesTarget, "misses_target" },
    { QueueRejectionReason::MissesDeadline, "misses_deadline" },
    { QueueRejectionReason::QueueFull, "queue_full" },
} };

/// A waiting request that is to be rejected.
struct QueueRejection {
    std::uint64_t id = 0;
    QueueRejectionReason reason = QueueRejectionReason::MissesDeadline;
    /// After this time there is room for it.
    Utils::Duration retryAfter {};
};

} // namespace Balancing
