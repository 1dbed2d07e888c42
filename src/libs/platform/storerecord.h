#pragma once

#include <utils/ids.h>

#include <optional>
#include <string>

namespace Platform {

/// One record of a topic.
struct StoreRecord {
    Utils::Offset offset = 0;
    /// Empty in a topic without keys.
    std::string key;
    /// Nothing where the key was dropped.
    std::optional<std::string> value;
};

} // namespace Platform
