#include <standins/journal/endpoint.h>

#include <boost/asio/error.hpp>

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <system_error>

namespace Journal {

boost::asio::ip::tcp::endpoint endpointFrom(const std::string& text, boost::system::error_code& error)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        error = boost::asio::error::invalid_argument;
        return {};
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        error = boost::asio::error::invalid_argument;
        return {};
    }
    return { boost::asio::ip::make_address(text.substr(0, colon), error), port };
}

} // namespace Journal
