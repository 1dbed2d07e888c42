#pragma once

#include <utils/time.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace Edge {

/// What the leader knows of the quarantined requests in the store.
struct QuarantineRecords {
    /// The records have been read in this term.
    bool isRead = false;
    bool callInProgress = false;
    Utils::Instant lastCallAt {};
    /// Number of crashes in the store by fingerprint.
    std::unordered_map<std::uint64_t, std::size_t> written;
};

} // namespace Edge
