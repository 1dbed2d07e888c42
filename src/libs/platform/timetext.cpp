#include <platform/decodeerror.h>
#include <platform/timetext.h>

#include <boost/leaf/error.hpp>

#include <charconv>
#include <cmath>

namespace Platform {

namespace Internal {

/// Longer times are taken for mistakes.
constexpr double longestSeconds = 1e6;

} // namespace Internal

boost::leaf::result<Utils::Duration> parseDuration(std::string_view text)
{
    double number = 0;
    const std::from_chars_result end = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(end.ptr, static_cast<std::size_t>(text.data() + text.size() - end.ptr));
    const double seconds = unit == "ms" ? number / 1000 : number;
    const bool known = unit == "ms" || unit == "s";
    if (end.ec != std::errc() || !known || !(seconds >= 0) || seconds > Internal::longestSeconds)
        return boost::leaf::new_error(DecodeError::OutOfRange);
    return Utils::Duration(std::llround(seconds * 1e6));
}

std::string formatDuration(Utils::Duration duration)
{
    return std::to_string(Utils::toMilliseconds(duration)) + "ms";
}

} // namespace Platform
