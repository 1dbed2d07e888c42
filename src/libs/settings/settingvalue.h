#pragma once

#include <settings/endpoint.h>
#include <settings/settingfault.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>

/// Checked conversions of setting values. Every error is a SettingFault that names the setting and what is
/// allowed.
namespace Settings {

/// A whole number from \a lowest to \a highest. Errors: NotANumber, OutOfRange.
boost::leaf::result<std::uint64_t> numberValue(
    const std::string& name, const std::string& value, std::uint64_t lowest, std::uint64_t highest);

/// An IP number. Errors: NotAnAddress.
boost::leaf::result<std::string> addressValue(const std::string& name, const std::string& value);

/// `IP:PORT`. Errors: NotAnEndpoint.
boost::leaf::result<Endpoint> endpointValue(const std::string& name, const std::string& value);

/// A name: 1 to 64 letters, digits, '-', '_' or '.'. Errors: NotAName.
boost::leaf::result<std::string> nameValue(const std::string& name, const std::string& value);

} // namespace Settings
