#pragma once

#include <routing/vmsettings.h>

#include <boost/leaf/result.hpp>

#include <string>

namespace Platform {

/// Decodes the text of the settings file that the platform writes for this process. Unknown fields are
/// ignored and absent limits keep their defaults. Fails with a DecodeError and, except for a malformed value,
/// the FieldName.
boost::leaf::result<Routing::VmSettings> decodeSettings(const std::string& text);

/// Environment variable in which the platform passes the path of the settings file.
inline constexpr const char* settingsPathVariable = "CROCUSFERRY_SETTINGS";

} // namespace Platform
