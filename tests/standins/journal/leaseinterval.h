#pragma once

#include <cstdint>
#include <string>

namespace Journal {

/// A time during which an upstream owned a shard, by the wall clock in microseconds.
struct LeaseInterval {
    std::string upstream;
    std::int64_t from = 0;
    std::int64_t until = 0;

    bool operator==(const LeaseInterval&) const = default;
};

} // namespace Journal
