#pragma once

#include <utils/time.h>

#include <optional>

namespace Ownership {

/// Where a granter takes one shard of its record.
struct ShardView {
    /// Whether it went from the owner to the standby.
    bool isOnStandby = false;
    /// Whether it was released for a planned move; nobody is granted it again at this level.
    bool isReleased = false;
    /// When requests to an owner that checks no grants ended.
    std::optional<Utils::Instant> ownerRequestsEndedAt;

    bool operator==(const ShardView&) const = default;
};

} // namespace Ownership
