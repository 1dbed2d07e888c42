#include <soak/tcpproxy.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <vector>

namespace Soak {

namespace {

using ErrorCode = boost::system::error_code;
using ConnectionPtr = std::shared_ptr<TcpProxy::Connection>;

void closeConnection(TcpProxy& proxy, std::uint64_t id)
{
    const auto found = proxy.connections.find(id);
    if (found == proxy.connections.end())
        return;
    const ConnectionPtr connection = found->second;
    proxy.connections.erase(found);
    for (Tcp::socket& socket : connection->sockets) {
        ErrorCode ignored;
        socket.close(ignored);
    }
}

void readFrom(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side);

void forward(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side)
{
    const std::size_t size = std::exchange(connection->held[side], 0);
    boost::asio::async_write(connection->sockets[1 - side],
        boost::asio::buffer(connection->buffers[side], size),
        [&proxy, id, connection, side](const ErrorCode& error, std::size_t) {
            if (error)
                closeConnection(proxy, id);
            else
                readFrom(proxy, id, connection, side);
        });
}

void forwardLater(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side)
{
    if (proxy.silent[side])
        return;
    if (proxy.delay.count() == 0) {
        forward(proxy, id, connection, side);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(proxy.context, proxy.delay);
    timer->async_wait([timer, &proxy, id, connection, side](const ErrorCode& error) {
        if (!error && proxy.connections.contains(id) && connection->held[side] > 0 && !proxy.silent[side])
            forward(proxy, id, connection, side);
    });
}

void readFrom(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side)
{
    connection->sockets[side].async_read_some(boost::asio::buffer(connection->buffers[side]),
        [&proxy, id, connection, side](const ErrorCode& error, std::size_t size) {
            if (error) {
                closeConnection(proxy, id);
                return;
            }
            connection->held[side] = size;
            forwardLater(proxy, id, connection, side);
        });
}

void acceptNext(TcpProxy& proxy)
{
    const std::uint64_t id = ++proxy.lastConnection;
    const ConnectionPtr connection = std::make_shared<TcpProxy::Connection>(proxy.context);
    proxy.acceptor.async_accept(connection->sockets[0], [&proxy, id, connection](const ErrorCode& error) {
        if (error)
            return;
        proxy.connections.emplace(id, connection);
        connection->sockets[1].async_connect(
            proxy.target, [&proxy, id, connection](const ErrorCode& connectError) {
                if (connectError) {
                    closeConnection(proxy, id);
                    return;
                }
                readFrom(proxy, id, connection, 0);
                readFrom(proxy, id, connection, 1);
            });
        acceptNext(proxy);
    });
}

} // namespace

void startProxy(TcpProxy& proxy, const Tcp::endpoint& endpoint)
{
    proxy.acceptor.open(endpoint.protocol());
    proxy.acceptor.set_option(Tcp::acceptor::reuse_address(true));
    proxy.acceptor.bind(endpoint);
    proxy.acceptor.listen();
    acceptNext(proxy);
}

void stopProxy(TcpProxy& proxy)
{
    ErrorCode ignored;
    proxy.acceptor.close(ignored);
    resetConnections(proxy);
}

void resetConnections(TcpProxy& proxy)
{
    std::vector<std::uint64_t> ids;
    for (auto it = proxy.connections.begin(); it != proxy.connections.end(); ++it) {
        for (Tcp::socket& socket : it->second->sockets) {
            ErrorCode ignored;
            socket.set_option(Tcp::socket::linger(true, 0), ignored);
        }
        ids.push_back(it->first);
    }
    for (const std::uint64_t id : ids)
        closeConnection(proxy, id);
}

void releaseHeldBytes(TcpProxy& proxy)
{
    const std::map<std::uint64_t, ConnectionPtr> connections = proxy.connections;
    for (auto it = connections.begin(); it != connections.end(); ++it) {
        for (std::size_t side = 0; side < 2; ++side) {
            if (it->second->held[side] > 0 && !proxy.silent[side])
                forward(proxy, it->first, it->second, side);
        }
    }
}

} // namespace Soak
