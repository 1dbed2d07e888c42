#pragma once

#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace Platform {

/// Reads a time such as "1500ms" or "2.5s". Fails with DecodeError::OutOfRange.
boost::leaf::result<Utils::Duration> parseDuration(std::string_view text);

/// \a duration in whole milliseconds, as "1500ms".
std::string formatDuration(Utils::Duration duration);

} // namespace Platform
