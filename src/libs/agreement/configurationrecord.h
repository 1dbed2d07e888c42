#pragma once

#include <agreement/recordheader.h>
#include <utils/ids.h>

#include <string>

namespace Agreement {

/// A whole configuration, published by an operator.
struct ConfigurationRecord {
    RecordHeader header;
    /// Offset of the configuration that it replaces; 0 for the first.
    Utils::Offset base = 0;
    /// The declarations as text.
    std::string text;

    bool operator==(const ConfigurationRecord&) const = default;
};

} // namespace Agreement
