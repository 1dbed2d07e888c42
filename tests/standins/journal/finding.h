#pragma once

#include <standins/journal/findingkind.h>

#include <cstdint>
#include <string>

namespace Journal {

/// One broken promise, with where to look for it in the journals.
struct Finding {
    FindingKind kind = FindingKind::Lost;
    /// The request's number, or the shard.
    std::string subject;
    /// Upstreams concerned, if any.
    std::string upstreams;
    /// Wall clock in microseconds.
    std::int64_t at = 0;
    /// Overlaps: how long, in microseconds.
    std::int64_t length = 0;

    bool operator==(const Finding&) const = default;
};

} // namespace Journal
