#pragma once

#include <utils/time.h>

#include <cstddef>

namespace Edge {

/// What has delayed this VM as a source of records since it was last logged, so that a saturated link, a busy
/// processor and a slow store can be told apart.
struct BacklogState {
    Utils::Instant periodStartedAt {};
    /// When the tick of the relay was due; not set before the first one.
    Utils::Instant tickDueAt {};
    /// Longest delay of a tick: the time for which other work kept the processor.
    Utils::Duration maxTickDelay {};
    /// Longest time for which a frame has waited in the send queue of a link.
    Utils::Duration maxFrameDelay {};
    /// Longest response time of the store to a write. Writes are not delayed by the store itself.
    Utils::Duration maxWriteLatency {};
    /// Bytes that were queued on relay links, one count for each link.
    std::size_t queuedBytes = 0;
};

} // namespace Edge
