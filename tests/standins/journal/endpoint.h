#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <string>

namespace Journal {

/// The address in "IP:PORT"; sets \a error when it isn't one.
boost::asio::ip::tcp::endpoint endpointFrom(const std::string& text, boost::system::error_code& error);

} // namespace Journal
