#pragma once

#include <settings/settingerror.h>

#include <string>

namespace Settings {

/// What is wrong with one setting: its name, the value given and what would be allowed.
struct SettingFault {
    SettingError error = SettingError::Missing;
    std::string name;
    std::string value;
    std::string allowed;

    bool operator==(const SettingFault&) const = default;
};

} // namespace Settings
