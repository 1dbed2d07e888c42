#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Logging {

/// Weight of a log line; lines below the configured level are not written.
enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr std::array<Utils::EnumName<Level>, 4> levelNames { {
    { Level::Debug, "debug" },
    { Level::Info, "info" },
    { Level::Warning, "warning" },
    { Level::Error, "error" },
} };

} // namespace Logging
