#pragma once

#include <optional>
#include <string>

namespace Settings {

/// One setting: `--<name>` on the command line, or the environment variable \c variable. The flag wins.
struct SettingSpec {
    std::string name;
    std::string variable;
    std::string help;
    /// Value when neither is given; a setting without one is required.
    std::optional<std::string> fallback;
};

} // namespace Settings
