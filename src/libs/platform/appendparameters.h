#pragma once

#include <utils/ids.h>

#include <optional>
#include <string>

namespace Platform {

/// On which condition records are added.
struct AppendParameters {
    std::string topic;
    /// Only if the partition ends here.
    std::optional<Utils::Offset> expectedEnd;
};

} // namespace Platform
