#pragma once

#include <settings/settingfault.h>
#include <settings/settingspec.h>

#include <boost/leaf.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Settings from flags and environment variables.
namespace Settings {

/// Values by setting name.
using SettingValues = std::map<std::string, std::string>;

/// Looks up an environment variable; nothing when it is not set.
using VariableLookup = std::function<std::optional<std::string>(const std::string&)>;

/// The process's own environment.
std::optional<std::string> environmentVariable(const std::string& name);

/// Reads the settings of \a specs; \a arguments begins with the program's name. `--help` and `--version`
/// print and end the process. Errors: SettingFault with UnknownFlag or Missing.
boost::leaf::result<SettingValues> readSettings(const std::string& description, const std::string& version,
    const std::vector<SettingSpec>& specs, std::vector<std::string> arguments, const VariableLookup& lookup);

} // namespace Settings
