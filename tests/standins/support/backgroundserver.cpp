#include <standins/support/backgroundserver.h>

#include <utility>

namespace StandInSupport {

BackgroundServer::BackgroundServer(boost::asio::io_context& ioContext, HttpHandler handler)
    : context(ioContext)
    , server(ioContext)
{
    if (startServing(this->server, "127.0.0.1:0", std::move(handler)))
        return;
    this->listeningPort = portOf(this->server);
    this->thread = std::thread([this] { this->context.run(); });
}

BackgroundServer::~BackgroundServer()
{
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

std::uint16_t BackgroundServer::port() const { return this->listeningPort; }

} // namespace StandInSupport
