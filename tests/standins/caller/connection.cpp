#include <standins/caller/connection.h>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <span>
#include <utility>

namespace StandInCaller {

namespace Http = boost::beast::http;

namespace Internal {

constexpr std::chrono::milliseconds connectPatience { 1'000 };

/// Ends the exchange. The connection may be gone afterwards.
void finish(Connection& connection, AttemptResult result, bool reusable)
{
    connection.stream.expires_never();
    const ExchangeDone done = std::exchange(connection.done, nullptr);
    done(std::move(result), reusable);
}

void fail(Connection& connection, const boost::system::error_code& error, AttemptFailure failure)
{
    const bool timedOut = error == boost::beast::error::timeout;
    const bool sent = failure != AttemptFailure::ConnectFailed;
    if (timedOut && sent && failure != AttemptFailure::AnswerBroken)
        failure = AttemptFailure::NoAnswer;
    AttemptResult result = resultFromFailure(failure);
    result.status = connection.result.status;
    finish(connection, std::move(result), false);
}

void readBody(Connection& connection);

void takeBody(Connection& connection, boost::system::error_code error)
{
    if (error == Http::error::need_buffer)
        error = {};
    if (error) {
        fail(connection, error, AttemptFailure::AnswerBroken);
        return;
    }
    const std::size_t bytes = connection.piece.size() - connection.parser->get().body().size;
    feed(connection.exchange.check, std::span<const char>(connection.piece.data(), bytes));
    if (!connection.parser->is_done()) {
        readBody(connection);
        return;
    }
    const bool hasBody = connection.exchange.request.method() != Http::verb::head;
    if (connection.result.outcome == Requests::Outcome::Done && hasBody)
        connection.result.answer = verdictOf(connection.exchange.check);
    finish(connection, connection.result, connection.parser->get().keep_alive());
}

void readBody(Connection& connection)
{
    connection.stream.expires_after(connection.exchange.patience);
    connection.parser->get().body().data = connection.piece.data();
    connection.parser->get().body().size = connection.piece.size();
    Http::async_read(connection.stream, connection.buffer, *connection.parser,
        [&connection](const boost::system::error_code& error, std::size_t) { takeBody(connection, error); });
}

void takeHead(Connection& connection, const boost::system::error_code& error)
{
    if (error) {
        const bool begun = connection.parser->got_some();
        fail(connection, error, begun ? AttemptFailure::AnswerBroken : AttemptFailure::ConnectionLost);
        return;
    }
    const Http::response<Http::buffer_body>& head = connection.parser->get();
    connection.result = resultFromHead(head, head.result_int(), connection.exchange.direct);
    readBody(connection);
}

void readHead(Connection& connection)
{
    connection.parser.emplace();
    connection.parser->body_limit(boost::none);
    connection.parser->skip(connection.exchange.request.method() == Http::verb::head);
    Http::async_read_header(connection.stream, connection.buffer, *connection.parser,
        [&connection](const boost::system::error_code& error, std::size_t) { takeHead(connection, error); });
}

void send(Connection& connection)
{
    connection.stream.expires_after(connection.exchange.patience);
    Http::async_write(connection.stream, connection.exchange.request,
        [&connection](const boost::system::error_code& error, std::size_t) {
            if (error)
                fail(connection, error, AttemptFailure::ConnectionLost);
            else
                readHead(connection);
        });
}

void connect(Connection& connection, const boost::asio::ip::tcp::endpoint& endpoint)
{
    connection.stream.expires_after(connectPatience);
    connection.stream.async_connect(endpoint, [&connection](const boost::system::error_code& error) {
        if (error) {
            fail(connection, error, AttemptFailure::ConnectFailed);
            return;
        }
        boost::system::error_code ignored;
        connection.stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        send(connection);
    });
}

} // namespace Internal

void carry(Connection& connection, const boost::asio::ip::tcp::endpoint& endpoint, Exchange exchange,
    ExchangeDone done)
{
    connection.exchange = std::move(exchange);
    connection.done = std::move(done);
    connection.result = AttemptResult();
    if (connection.stream.socket().is_open())
        Internal::send(connection);
    else
        Internal::connect(connection, endpoint);
}

bool isClosed(Connection& connection)
{
    boost::system::error_code error;
    std::array<char, 1> byte {};
    boost::asio::ip::tcp::socket& socket = connection.stream.socket();
    socket.non_blocking(true, error);
    if (error)
        return true;
    socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, error);
    return error != boost::asio::error::would_block;
}

} // namespace StandInCaller
