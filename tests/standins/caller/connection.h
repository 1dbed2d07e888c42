#pragma once

#include <standins/caller/answercheck.h>
#include <standins/caller/attemptresult.h>
#include <standins/caller/callerids.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace StandInCaller {

using CallerHttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// What a connection carries: one sending of a request.
struct Exchange {
    RequestNumber number;
    CallerHttpRequest request;
    AnswerCheck check;
    /// Longest silence of the other end.
    std::chrono::milliseconds patience { 0 };
    bool direct = false;
};

/// Called once for each exchange, with its result and whether the connection can carry another.
using ExchangeDone = std::function<void(AttemptResult result, bool reusable)>;

/// A connection to an entry VM. It carries one exchange at a time.
struct Connection {
    Connection(boost::asio::io_context& context, EntryNumber entryNumber)
        : stream(context)
        , entry(entryNumber)
    {
    }

    boost::beast::tcp_stream stream;
    EntryNumber entry;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser;
    std::array<char, 16ULL * 1024ULL> piece {};
    Exchange exchange;
    ExchangeDone done;
    AttemptResult result;
};

/// Connects, unless connected, and carries \a exchange. The connection must live until \a done is called.
void carry(Connection& connection, const boost::asio::ip::tcp::endpoint& endpoint, Exchange exchange,
    ExchangeDone done);

/// Whether the other end has closed an idle connection.
bool isClosed(Connection& connection);

} // namespace StandInCaller
