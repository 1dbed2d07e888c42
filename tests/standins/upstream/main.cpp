#include <standins/upstream/listener.h>
#include <standins/upstream/upstreamserver.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    boost::asio::io_context context(1);
    StandInUpstream::UpstreamServer server(context, StandInUpstream::optionsFromCommandLine(argc, argv));
    const boost::system::error_code error = StandInUpstream::startListening(server);
    if (error) {
        std::cerr << "standinupstream: " << server.options.listen << ": " << error.message() << "\n";
        return EXIT_FAILURE;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&server](const boost::system::error_code&, int) { StandInUpstream::startStopping(server); });
    context.run();
    return EXIT_SUCCESS;
}
