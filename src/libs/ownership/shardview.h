#pragma once

#include <utils/time.h>

#include <optional>

namespace Ownership {

/// State of one shard of the granter's assignment record.
struct ShardView {
    /// Whether the shard was failed over from the owner to the standby.
    bool isOnStandby = false;
    /// Whether the shard was released for a planned move; it is not granted again at this level.
    bool isReleased = false;
    /// When the granter stopped sending requests to an owner that does not check grants.
    std::optional<Utils::Instant> ownerRequestsEndedAt;

    bool operator==(const ShardView&) const = default;
};

} // namespace Ownership
