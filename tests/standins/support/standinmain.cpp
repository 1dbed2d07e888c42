#include <standins/support/httpserver.h>
#include <standins/support/standinmain.h>

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace StandInSupport {

int serveUntilStopped(
    boost::asio::io_context& context, std::string_view name, const std::string& listen, HttpHandler handler)
{
    HttpServer server(context);
    const boost::system::error_code error = startServing(server, listen, std::move(handler));
    if (error) {
        std::cerr << name << ": " << listen << ": " << error.message() << "\n";
        return EXIT_FAILURE;
    }
    boost::json::object started;
    started["event"] = "started";
    started["name"] = name;
    started["listen"] = listen.substr(0, listen.rfind(':') + 1) + std::to_string(portOf(server));
    std::cout << boost::json::serialize(started) << std::endl;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}

} // namespace StandInSupport
