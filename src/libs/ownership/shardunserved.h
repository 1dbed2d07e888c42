#pragma once

#include <utils/ids.h>

namespace Ownership {

/// This VM passes no requests for \c shard any more.
struct ShardUnserved {
    Utils::ShardId shard;

    bool operator==(const ShardUnserved&) const = default;
};

} // namespace Ownership
