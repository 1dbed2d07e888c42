#pragma once

#include <utils/ids.h>

namespace Gateway {

/// Log duty to control: what it asked for is no longer kept.
struct LogExpired {
    /// Oldest offset that the log keeps.
    Utils::Offset first = 0;
};

} // namespace Gateway
