#pragma once

#include <utils/ids.h>

#include <optional>
#include <string>

namespace Platform {

/// Where an append writes and under which condition.
struct AppendParameters {
    std::string topic;
    /// If set, the store rejects the append unless the partition ends at this offset.
    std::optional<Utils::Offset> expectedEnd;
};

} // namespace Platform
