#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <utility>

namespace StandInSupport {

/// A server's sockets, on the context that one thread runs.
using HttpSocket
    = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

/// One connection to a stand-in.
struct HttpSession {
    explicit HttpSession(HttpSocket socket)
        : stream(std::move(socket))
    {
    }

    boost::beast::basic_stream<boost::asio::ip::tcp, boost::asio::io_context::executor_type> stream;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
    boost::beast::http::response<boost::beast::http::string_body> response;
    /// Bytes of an answer that breaks off.
    std::string broken;
};

} // namespace StandInSupport
