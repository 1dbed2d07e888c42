#pragma once

#include <routing/vmsettings.h>

#include <boost/leaf/result.hpp>

#include <string>

namespace Platform {

/// Reads the text of the settings file that the platform writes for this process. Fields that are not known
/// are passed over; the bounds have defaults. Fails with a DecodeError and the FieldName.
boost::leaf::result<Routing::VmSettings> decodeSettings(const std::string& text);

/// The platform's variable that holds the path of the settings file.
inline constexpr const char* settingsPathVariable = "CROCUSFERRY_SETTINGS";

} // namespace Platform
