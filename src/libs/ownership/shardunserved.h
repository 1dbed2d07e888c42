#pragma once

#include <utils/ids.h>

namespace Ownership {

/// This VM no longer sends requests for \c shard.
struct ShardUnserved {
    Utils::ShardId shard;

    bool operator==(const ShardUnserved&) const = default;
};

} // namespace Ownership
