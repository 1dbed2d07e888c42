#include <platform/decodeerror.h>
#include <platform/endpointtext.h>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/leaf/error.hpp>

#include <charconv>

namespace Platform {

boost::leaf::result<Routing::Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return boost::leaf::new_error(DecodeError::OutOfRange);
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const std::from_chars_result parsed
        = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code addressError;
    const boost::asio::ip::address_v4 address
        = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), addressError);
    // The text may hold more than the address, after a zero byte.
    if (addressError || address.to_string() != text.substr(0, colon) || parsed.ec != std::errc()
        || parsed.ptr != portText.data() + portText.size() || port == 0)
        return boost::leaf::new_error(DecodeError::OutOfRange);
    return Routing::Endpoint { std::string(text.substr(0, colon)), port };
}

} // namespace Platform
