#pragma once

#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace Platform {

/// Parses a duration such as "1500ms" or "2.5s". Fails with DecodeError::OutOfRange.
boost::leaf::result<Utils::Duration> parseDuration(std::string_view text);

/// Formats \a duration in whole milliseconds, rounded down, as in "1500ms".
std::string formatDuration(Utils::Duration duration);

} // namespace Platform
