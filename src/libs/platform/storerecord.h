#pragma once

#include <utils/ids.h>

#include <optional>
#include <string>

namespace Platform {

/// A record of a topic.
struct StoreRecord {
    Utils::Offset offset = 0;
    /// Empty in a topic without keys and for a malformed record.
    std::string key;
    /// Not set if the record deletes its key or is malformed.
    std::optional<std::string> value;
};

} // namespace Platform
