#include <platform/decodeerror.h>
#include <platform/timetext.h>

#include <boost/leaf/error.hpp>

#include <charconv>
#include <cmath>

namespace Platform {

namespace Internal {

/// Longer durations are considered mistakes.
constexpr double maxSeconds = 1e6;

} // namespace Internal

boost::leaf::result<Utils::Duration> parseDuration(std::string_view text)
{
    double number = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(text.data() + text.size() - parsed.ptr));
    const double seconds = unit == "ms" ? number / 1000 : number;
    const bool isKnownUnit = unit == "ms" || unit == "s";
    if (parsed.ec != std::errc() || !isKnownUnit || !(seconds >= 0) || seconds > Internal::maxSeconds)
        return boost::leaf::new_error(DecodeError::OutOfRange);
    return Utils::Duration(std::llround(seconds * 1e6));
}

std::string formatDuration(Utils::Duration duration)
{
    return std::to_string(Utils::toMilliseconds(duration)) + "ms";
}

} // namespace Platform
