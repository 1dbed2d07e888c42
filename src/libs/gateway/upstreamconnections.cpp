#include <gateway/upstreamconnections.h>

#include <gateway/gatewayconstants.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Gateway {

boost::asio::awaitable<std::unique_ptr<UpstreamConnection>> openUpstream(
    boost::asio::io_context& context, const Settings::Endpoint& place)
{
    using boost::asio::ip::tcp;
    std::unique_ptr<UpstreamConnection> connection
        = std::make_unique<UpstreamConnection>(context.get_executor());
    const tcp::endpoint endpoint(boost::asio::ip::make_address(place.address), place.port);
    boost::system::error_code error;
    connection->stream.expires_after(connectTimeout);
    co_await connection->stream.async_connect(
        endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error)
        co_return nullptr;
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    co_return connection;
}

std::unique_ptr<UpstreamConnection> takeIdle(IdleConnections& idle, Utils::Duration limit)
{
    if (idle.empty())
        return nullptr;
    std::unique_ptr<UpstreamConnection> newest = std::move(idle.back());
    idle.pop_back();
    if (Utils::monotonicNow() - newest->lastUsed <= limit)
        return newest;
    idle.clear();
    return nullptr;
}

} // namespace Gateway
