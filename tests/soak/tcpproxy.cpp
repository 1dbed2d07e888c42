#include <soak/tcpproxy.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

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

void resetConnection(TcpProxy& proxy, std::uint64_t id)
{
    for (Tcp::socket& socket : proxy.connections.at(id)->sockets) {
        ErrorCode ignored;
        socket.set_option(Tcp::socket::linger(true, 0), ignored);
    }
    closeConnection(proxy, id);
}

/// Ends a connection one side of which has ended.
void endConnection(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection)
{
    if (proxy.state == LinkState::Hanging)
        connection->lost = true;
    else
        closeConnection(proxy, id);
}

bool isHeldBack(const TcpProxy& proxy, std::size_t side)
{
    return proxy.silent[side] || proxy.state == LinkState::Hanging;
}

void readFrom(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side);

void forward(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side)
{
    const std::size_t size = std::exchange(connection->held[side], 0);
    boost::asio::async_write(connection->sockets[1 - side],
        boost::asio::buffer(connection->buffers[side], size),
        [&proxy, id, connection, side](const ErrorCode& error, std::size_t) {
            if (error)
                endConnection(proxy, id, connection);
            else
                readFrom(proxy, id, connection, side);
        });
}

void forwardLater(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side)
{
    if (isHeldBack(proxy, side))
        return;
    if (proxy.delay.count() == 0) {
        forward(proxy, id, connection, side);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(proxy.context, proxy.delay);
    timer->async_wait([timer, &proxy, id, connection, side](const ErrorCode& error) {
        if (!error && proxy.connections.contains(id) && connection->held[side] > 0
            && !isHeldBack(proxy, side))
            forward(proxy, id, connection, side);
    });
}

void readFrom(TcpProxy& proxy, std::uint64_t id, const ConnectionPtr& connection, std::size_t side)
{
    connection->sockets[side].async_read_some(boost::asio::buffer(connection->buffers[side]),
        [&proxy, id, connection, side](const ErrorCode& error, std::size_t size) {
            if (error) {
                endConnection(proxy, id, connection);
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
                    endConnection(proxy, id, connection);
                    return;
                }
                readFrom(proxy, id, connection, 0);
                readFrom(proxy, id, connection, 1);
            });
        if (proxy.state == LinkState::Open)
            acceptNext(proxy);
    });
}

void bindAcceptor(TcpProxy& proxy)
{
    if (proxy.acceptor.is_open())
        return;
    proxy.acceptor.open(proxy.endpoint.protocol());
    proxy.acceptor.set_option(Tcp::acceptor::reuse_address(true));
    proxy.acceptor.bind(proxy.endpoint);
}

void listenAndAccept(TcpProxy& proxy)
{
    bindAcceptor(proxy);
    proxy.acceptor.listen();
    acceptNext(proxy);
}

void closeAcceptor(TcpProxy& proxy)
{
    ErrorCode ignored;
    proxy.acceptor.close(ignored);
}

/// Listens without accepting, and fills the queue, so that the kernel drops further SYNs.
void hangAcceptor(TcpProxy& proxy)
{
    constexpr std::size_t fillerCount = 2;
    bindAcceptor(proxy);
    ErrorCode ignored;
    proxy.acceptor.cancel(ignored);
    proxy.acceptor.listen(0);
    for (std::size_t filler = 0; filler < fillerCount; ++filler)
        proxy.queueFillers.emplace_back(proxy.context).async_connect(proxy.endpoint, [](const ErrorCode&) {});
}

void resetLostConnections(TcpProxy& proxy)
{
    const std::map<std::uint64_t, ConnectionPtr> connections = proxy.connections;
    for (auto it = connections.begin(); it != connections.end(); ++it) {
        if (it->second->lost)
            resetConnection(proxy, it->first);
    }
}

} // namespace

void startProxy(TcpProxy& proxy)
{
    proxy.serving = true;
    if (proxy.state == LinkState::Open)
        listenAndAccept(proxy);
}

void stopProxy(TcpProxy& proxy)
{
    proxy.serving = false;
    if (proxy.state == LinkState::Hanging) {
        for (auto it = proxy.connections.begin(); it != proxy.connections.end(); ++it)
            it->second->lost = true;
        return;
    }
    closeAcceptor(proxy);
    resetConnections(proxy);
}

void cutLink(TcpProxy& proxy, LinkState state)
{
    proxy.state = state;
    if (state == LinkState::Hanging) {
        hangAcceptor(proxy);
        return;
    }
    closeAcceptor(proxy);
    if (state == LinkState::Reset)
        resetConnections(proxy);
}

void healLink(TcpProxy& proxy)
{
    proxy.state = LinkState::Open;
    proxy.queueFillers.clear();
    resetLostConnections(proxy);
    if (proxy.serving)
        listenAndAccept(proxy);
    else
        closeAcceptor(proxy);
    releaseHeldBytes(proxy);
}

void resetConnections(TcpProxy& proxy)
{
    while (!proxy.connections.empty())
        resetConnection(proxy, proxy.connections.begin()->first);
}

void releaseHeldBytes(TcpProxy& proxy)
{
    const std::map<std::uint64_t, ConnectionPtr> connections = proxy.connections;
    for (auto it = connections.begin(); it != connections.end(); ++it) {
        for (std::size_t side = 0; side < 2; ++side) {
            if (it->second->held[side] > 0 && !isHeldBack(proxy, side))
                forward(proxy, it->first, it->second, side);
        }
    }
}

} // namespace Soak
