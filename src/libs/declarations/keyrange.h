#pragma once

#include <utils/ids.h>

#include <optional>
#include <string>

namespace Declarations {

/// The keys of one service from \c from up to, but not including, \c to in byte order.
/// The ranges of a service cover every key once.
struct KeyRange {
    Utils::KeyRangeId id;
    Utils::ServiceId service;
    std::string from;
    /// Nothing stands for the end of all keys.
    std::optional<std::string> to;
    Utils::PoolId pool;
    /// Hash buckets that the range is divided into; fixed for the life of the range.
    unsigned shards = 0;

    bool operator==(const KeyRange&) const = default;
};

} // namespace Declarations
