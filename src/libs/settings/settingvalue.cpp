#include <settings/settingvalue.h>

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Settings {

namespace Internal {

constexpr std::size_t maxNameLength = 64;

bool isNameCharacter(char character)
{
    const bool letter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || character == '-' || character == '_' || character == '.';
}

bool isAddress(const std::string& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

} // namespace Internal

boost::leaf::result<std::uint64_t> numberValue(
    const std::string& name, const std::string& value, std::uint64_t lowest, std::uint64_t highest)
{
    const std::string allowed
        = "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const std::from_chars_result parsed = std::from_chars(value.data(), end, number);
    if (parsed.ec == std::errc::result_out_of_range)
        return boost::leaf::new_error(SettingFault { SettingError::OutOfRange, name, value, allowed });
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return boost::leaf::new_error(SettingFault { SettingError::NotANumber, name, value, allowed });
    if (number < lowest || number > highest)
        return boost::leaf::new_error(SettingFault { SettingError::OutOfRange, name, value, allowed });
    return number;
}

boost::leaf::result<std::string> addressValue(const std::string& name, const std::string& value)
{
    if (!Internal::isAddress(value))
        return boost::leaf::new_error(
            SettingFault { SettingError::NotAnAddress, name, value, "an IP number" });
    return value;
}

boost::leaf::result<Endpoint> endpointValue(const std::string& name, const std::string& value)
{
    const std::size_t colon = value.rfind(':');
    const SettingFault fault { SettingError::NotAnEndpoint, name, value,
        "IP:PORT with a port from 1 to 65535" };
    if (colon == std::string::npos)
        return boost::leaf::new_error(fault);
    const std::string address = value.substr(0, colon);
    const std::string portText = value.substr(colon + 1);
    std::uint16_t port = 0;
    const char* end = portText.data() + portText.size();
    const std::from_chars_result parsed = std::from_chars(portText.data(), end, port);
    const bool portGood = parsed.ec == std::errc() && parsed.ptr == end && port != 0;
    if (!portGood || !Internal::isAddress(address))
        return boost::leaf::new_error(fault);
    return Endpoint { address, port };
}

boost::leaf::result<std::string> nameValue(const std::string& name, const std::string& value)
{
    const bool sized = !value.empty() && value.size() <= Internal::maxNameLength;
    if (!sized || !std::all_of(value.begin(), value.end(), Internal::isNameCharacter)) {
        return boost::leaf::new_error(SettingFault { SettingError::NotAName, name, value,
            "1 to 64 letters, digits, hyphens, underscores or full stops" });
    }
    return value;
}

} // namespace Settings
