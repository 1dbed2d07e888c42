#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Settings {

/// Why settings were refused.
enum class SettingError {
    UnknownFlag,
    Missing,
    NotANumber,
    OutOfRange,
    NotAnEndpoint,
    NotAnAddress,
    NotAName,
    NotAllowed,
};

inline constexpr std::array<Utils::EnumName<SettingError>, 8> settingErrorNames { {
    { SettingError::UnknownFlag, "unknown_flag" },
    { SettingError::Missing, "missing" },
    { SettingError::NotANumber, "not_a_number" },
    { SettingError::OutOfRange, "out_of_range" },
    { SettingError::NotAnEndpoint, "not_an_endpoint" },
    { SettingError::NotAnAddress, "not_an_address" },
    { SettingError::NotAName, "not_a_name" },
    { SettingError::NotAllowed, "not_allowed" },
} };

} // namespace Settings
