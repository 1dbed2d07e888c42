#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <utility>

namespace StandInSupport {

/// One connection to a stand-in.
struct HttpSession {
    explicit HttpSession(boost::asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    boost::beast::http::response<boost::beast::http::string_body> response;
    /// Bytes of an answer that breaks off.
    std::string broken;
};

} // namespace StandInSupport
