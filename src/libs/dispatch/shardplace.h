#pragma once

#include <requests/work.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <optional>
#include <set>

namespace Dispatch {

/// Where a shard is served.
struct ShardPlace {
    /// Nothing while the shard is between owners.
    std::optional<Utils::UpstreamId> upstream;
    /// When it lost its owner.
    Utils::Instant unownedSince {};
    /// Request ids of this shard are remembered from here on.
    Utils::Instant rememberedSince {};
    /// Works that wait for an owner.
    std::set<Requests::WorkId> waiting;
};

} // namespace Dispatch
