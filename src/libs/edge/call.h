#pragma once

#include <edge/callresponse.h>
#include <edge/guardedtimer.h>
#include <edge/sockets.h>
#include <platform/storecalls.h>
#include <routing/endpoint.h>
#include <utils/time.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <optional>

namespace Edge {

using CallHandler = std::function<void(CallResponse)>;

/// An HTTP call in flight that this VM makes to the store or an upstream.
struct Call {
    Call(boost::asio::io_context& context, Routing::Endpoint endpoint, Platform::HttpRequest request,
        CallHandler handler)
        : endpoint(std::move(endpoint))
        , request(std::move(request))
        , handler(std::move(handler))
        , socket(context)
        , timer(context)
        , buffer(maxUnparsedBytes)
    {
    }

    Routing::Endpoint endpoint;
    Platform::HttpRequest request;
    CallHandler handler;
    Tcp::socket socket;
    GuardedTimer timer;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    /// The call fails if its response is not complete by then.
    Utils::Instant deadline {};
    /// The call fails if the body of its response is longer.
    std::uint64_t maxResponseBytes = 0;
    bool usesIdleConnection = false;
    /// No other call uses the connection, before or after this one.
    bool ownsConnection = false;
    /// The request may be sent again if its connection is lost before the response.
    bool isRepeatable = false;
    bool requestSent = false;
};

} // namespace Edge
