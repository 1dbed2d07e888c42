#pragma once

#include <standins/support/httphandler.h>

#include <boost/asio/io_context.hpp>

#include <string>
#include <string_view>

namespace StandInSupport {

/// Serves until SIGTERM or SIGINT. Prints a line of JSON once it listens. Gives the exit status.
int serveUntilStopped(
    boost::asio::io_context& context, std::string_view name, const std::string& listen, HttpHandler handler);

} // namespace StandInSupport
