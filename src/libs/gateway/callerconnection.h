#pragma once

#include <gateway/gatewayconstants.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Gateway {

/// One caller's connection and what its current request says about the form of the answer.
struct CallerConnection {
    explicit CallerConnection(boost::asio::ip::tcp::socket socket)
        : stream(std::move(socket))
        , buffer(maxUnparsedBytes)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    unsigned version = 11;
    bool keepAlive = true;
    bool headRequest = false;
    /// Whether the head of an answer has been written.
    bool answerBegun = false;
};

} // namespace Gateway
