#pragma once

#include <platform/storerecord.h>

#include <vector>

namespace Platform {

/// An answer with records.
struct StorePage {
    /// Offset after the last record of the partition.
    Utils::Offset endOffset = 0;
    /// First offset that the store still has.
    Utils::Offset firstKept = 0;
    std::vector<StoreRecord> records;
    /// More keys follow the last one.
    bool hasMore = false;
};

} // namespace Platform
