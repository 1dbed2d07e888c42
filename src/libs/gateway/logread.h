#pragma once

#include <agreement/logrecord.h>
#include <utils/ids.h>

#include <vector>

namespace Gateway {

/// Log duty to control: one answer of the log service.
struct LogRead {
    /// Oldest offset that the log keeps.
    Utils::Offset first = 0;
    std::vector<Agreement::LogRecord> records;
};

} // namespace Gateway
