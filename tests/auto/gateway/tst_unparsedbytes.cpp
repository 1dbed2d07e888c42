#include <gateway/callerconnection.h>
#include <gateway/upstreamconnection.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t sentBytes = std::size_t(4) << 20;

struct Row {
    const char* name;
    std::string head;
    std::string filler;
};

std::vector<Row> makeRows()
{
    const std::string bytes(8192, 'x');
    std::string fields;
    while (fields.size() < bytes.size())
        fields += "X-Field: value\r\n";
    return {
        { "trailer of many fields", "4\r\nbody\r\n0\r\n", fields },
        { "one field of a trailer", "4\r\nbody\r\n0\r\nX-Field: ", bytes },
        { "extension of the last chunk", "4\r\nbody\r\n0;a=", bytes },
        { "extension of a chunk", "4;a=", bytes },
        { "digits of a chunk's length", "", std::string(8192, '0') },
    };
}

/// Sends \a row behind \a firstLine to \a connection, which reads it with \a parser. Returns how that ends.
template <typename Connection, typename Parser>
ErrorCode readFrom(
    Connection& connection, Tcp::socket& sender, Parser& parser, const std::string& firstLine, const Row& row)
{
    std::thread writer([&] {
        ErrorCode error;
        asio::write(sender,
            asio::buffer(firstLine + "Host: a.example\r\nTransfer-Encoding: chunked\r\n\r\n" + row.head),
            error);
        for (std::size_t sent = 0; !error && sent < sentBytes; sent += row.filler.size())
            asio::write(sender, asio::buffer(row.filler), error);
        sender.shutdown(Tcp::socket::shutdown_send, error);
    });
    ErrorCode result;
    http::read(connection.stream.socket(), connection.buffer, parser, result);
    connection.stream.socket().close();
    writer.join();
    return result;
}

/// Connects \a one to \a other.
void connectPair(asio::io_context& context, Tcp::socket& one, Tcp::socket& other)
{
    Tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    one.connect(acceptor.local_endpoint());
    acceptor.accept(other);
}

} // namespace

TEST_CASE("what can't be parsed yet is limited on a caller's connection", "[unparsedbytes]")
{
    const Row row = GENERATE(from_range(makeRows()));
    INFO(row.name);
    asio::io_context context;
    Tcp::socket sender(context);
    Tcp::socket receiver(context);
    connectPair(context, sender, receiver);
    Gateway::CallerConnection connection(std::move(receiver));
    http::request_parser<http::string_body> parser;
    CHECK(readFrom(connection, sender, parser, "POST / HTTP/1.1\r\n", row) == http::error::buffer_overflow);
    CHECK(connection.buffer.capacity() <= Gateway::maxUnparsedBytes);
}

TEST_CASE("what can't be parsed yet is limited on an upstream's connection", "[unparsedbytes]")
{
    const Row row = GENERATE(from_range(makeRows()));
    INFO(row.name);
    asio::io_context context;
    Tcp::socket sender(context);
    Gateway::UpstreamConnection connection(context.get_executor());
    connectPair(context, sender, connection.stream.socket());
    http::response_parser<http::string_body> parser;
    CHECK(readFrom(connection, sender, parser, "HTTP/1.1 200 OK\r\n", row) == http::error::buffer_overflow);
    CHECK(connection.buffer.capacity() <= Gateway::maxUnparsedBytes);
}
