#pragma once

#include <cstdint>
#include <string>

namespace StandInLog {

/// A record that the log keeps.
struct StoredRecord {
    std::uint64_t offset = 0;
    std::int64_t timeMs = 0;
    std::string data;
};

} // namespace StandInLog
