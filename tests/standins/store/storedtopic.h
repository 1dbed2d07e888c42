#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace StandInStore {

/// One topic's only partition.
struct StoredTopic {
    /// All records ever; those before \c firstKept are gone for reads.
    std::vector<std::string> records;
    std::uint64_t firstKept = 0;
};

} // namespace StandInStore
