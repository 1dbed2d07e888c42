#pragma once

#include <platform/storerecord.h>

#include <vector>

namespace Platform {

/// One response with records from the store.
struct StorePage {
    /// Offset after the last record of the partition.
    Utils::Offset endOffset = 0;
    /// First offset that the store still retains.
    Utils::Offset firstRetainedOffset = 0;
    std::vector<StoreRecord> records;
    /// Further keys follow the last one of this page.
    bool hasMore = false;
};

} // namespace Platform
