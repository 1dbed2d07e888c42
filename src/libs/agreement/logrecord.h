#pragma once

#include <utils/ids.h>

#include <cstdint>
#include <string>

namespace Agreement {

/// One record as the log service gives it out.
struct LogRecord {
    Utils::Offset offset = 0;
    /// When the log service took it, in milliseconds on its clock.
    std::int64_t timeMs = 0;
    std::string data;

    bool operator==(const LogRecord&) const = default;
};

} // namespace Agreement
