#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace StandInStore {

/// One topic's only partition.
struct StoredTopic {
    /// All records ever; those before \c firstKept are gone for reads.
    std::vector<std::string> records;
    /// When each record was written.
    std::vector<std::chrono::steady_clock::time_point> times;
    std::uint64_t firstKept = 0;
};

} // namespace StandInStore
