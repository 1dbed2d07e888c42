#pragma once

#include <standins/support/httphandler.h>
#include <standins/support/httpsession.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace StandInSupport {

/// A small HTTP server on the thread that runs its context.
struct HttpServer {
    explicit HttpServer(boost::asio::io_context& context)
        : acceptor(context)
    {
    }

    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, boost::asio::io_context::executor_type> acceptor;
    HttpHandler handler;
    std::map<std::uint64_t, HttpSession> sessions;
    std::uint64_t lastSession = 0;
};

/// Listens on \a listen, "IP:PORT" with port 0 for any, and answers with \a handler until the context stops.
boost::system::error_code startServing(HttpServer& server, const std::string& listen, HttpHandler handler);

/// Stops listening and resets all connections, as a process that terminates does. Returns the "IP:PORT" it
/// listened on, with which startServing() starts it again.
std::string crash(HttpServer& server);

/// The port that the server listens on.
std::uint16_t portOf(const HttpServer& server);

} // namespace StandInSupport
