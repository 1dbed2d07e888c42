#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using LoopbackHeaders = std::vector<std::pair<std::string, std::string>>;

/// The answer to one request, or how it failed.
struct LoopbackAnswer {
    boost::system::error_code error;
    boost::beast::http::response<boost::beast::http::string_body> response;
};

/// One connection to a loopback port.
struct LoopbackClient {
    explicit LoopbackClient(std::uint16_t port)
        : stream(context)
    {
        this->stream.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const std::string& method, const std::string& target, const LoopbackHeaders& headers = {},
        const std::string& body = {})
    {
        boost::beast::http::request<boost::beast::http::string_body> request;
        request.method_string(method);
        request.target(target);
        request.version(11);
        for (const std::pair<std::string, std::string>& header : headers)
            request.set(header.first, header.second);
        request.body() = body;
        request.prepare_payload();
        boost::beast::http::write(this->stream, request);
    }

    /// Waits for an answer for \a patience at most.
    LoopbackAnswer receive(std::chrono::milliseconds patience = std::chrono::seconds(5))
    {
        LoopbackAnswer answer;
        this->stream.expires_after(patience);
        boost::beast::http::async_read(this->stream, this->buffer, answer.response,
            [&answer](const boost::system::error_code& error, std::size_t) { answer.error = error; });
        this->context.restart();
        this->context.run();
        return answer;
    }

    LoopbackAnswer call(const std::string& method, const std::string& target,
        const LoopbackHeaders& headers = {}, const std::string& body = {})
    {
        this->send(method, target, headers, body);
        return this->receive();
    }

    boost::asio::io_context context;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};
