#pragma once

#include <utils/ids.h>

namespace LogService {

/// What the log keeps.
struct KeptRange {
    /// Oldest offset kept.
    Utils::Offset first = 0;
    /// Next offset to be given.
    Utils::Offset end = 0;

    bool operator==(const KeptRange&) const = default;
};

} // namespace LogService
