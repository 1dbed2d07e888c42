#pragma once

namespace Dispatch {

/// Where a submitted work is.
enum class WorkPhase {
    /// Its shard has no owner.
    WaitingForOwner,
    /// In a queue of the upstream that owns its shard.
    Queued,
    /// Sent to an upstream.
    Running,
};

} // namespace Dispatch
