#include "endlessupstream.h"

#include <boost/asio/write.hpp>

namespace EdgeTest {

namespace {

using ErrorCode = boost::system::error_code;
using Tcp = boost::asio::ip::tcp;
using ConnectionPtr = std::shared_ptr<EndlessUpstream::Connection>;

void sendWithoutEnd(EndlessUpstream& upstream, std::uint64_t id, const std::string& bytes)
{
    const ConnectionPtr connection = upstream.connections.at(id);
    boost::asio::async_write(connection->socket, boost::asio::buffer(bytes),
        [&upstream, id, connection](const ErrorCode& error, std::size_t size) {
            upstream.bytesSent += size;
            if (error)
                upstream.connections.erase(id);
            else
                sendWithoutEnd(upstream, id, upstream.filler);
        });
}

void readRequest(EndlessUpstream& upstream, std::uint64_t id)
{
    const ConnectionPtr connection = upstream.connections.at(id);
    connection->received.resize(1024);
    connection->socket.async_read_some(boost::asio::buffer(connection->received),
        [&upstream, id, connection](const ErrorCode& error, std::size_t) {
            if (error)
                upstream.connections.erase(id);
            else
                sendWithoutEnd(upstream, id, upstream.head);
        });
}

void acceptNext(EndlessUpstream& upstream)
{
    const std::uint64_t id = ++upstream.lastConnection;
    const ConnectionPtr connection = std::make_shared<EndlessUpstream::Connection>(upstream.context);
    upstream.acceptor.async_accept(connection->socket, [&upstream, id, connection](const ErrorCode& error) {
        if (error)
            return;
        upstream.connections.emplace(id, connection);
        readRequest(upstream, id);
        acceptNext(upstream);
    });
}

} // namespace

EndlessUpstream::EndlessUpstream(boost::asio::io_context& context, std::string head, std::string filler)
    : context(context)
    , head(std::move(head))
    , filler(std::move(filler))
    , acceptor(context)
{
}

void startEndlessUpstream(TestEnvironment& environment, EndlessUpstream& upstream, const std::string& id,
    const std::string& service)
{
    const std::string address = uniqueLoopbackAddress(90);
    upstream.acceptor.open(Tcp::v4());
    upstream.acceptor.bind({ boost::asio::ip::make_address(address), 0 });
    upstream.acceptor.listen();
    acceptNext(upstream);
    StandInStore::putRecord(environment.store, "keyed.servers", id,
        R"({"address":")" + address + ":" + std::to_string(upstream.acceptor.local_endpoint().port())
            + R"(","info":{"service":")" + service
            + R"(","version":"v1","zone":"z1","slots":20},"status":{"state":"ready","seq_no":1,"cold_left":"0ms"},)"
              R"("born":1})");
}

} // namespace EdgeTest
