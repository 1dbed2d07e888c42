#pragma once

#include <cstddef>

namespace MeasurePlacement {

/// Size of one measured pool.
struct PoolSize {
    std::size_t upstreams = 0;
    std::size_t shards = 0;
    std::size_t zones = 0;
    std::size_t keys = 0;
};

} // namespace MeasurePlacement
