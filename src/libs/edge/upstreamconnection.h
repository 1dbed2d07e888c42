#pragma once

#include <edge/guardedtimer.h>
#include <edge/sockets.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>

namespace Edge {

/// A connection to an upstream.
struct UpstreamConnection {
    UpstreamConnection(std::uint64_t id, boost::asio::io_context& context)
        : id(id)
        , socket(context)
        , timer(context)
        , buffer(maxUnparsedBytes)
    {
    }

    std::uint64_t id;
    Utils::UpstreamId upstream;
    /// Start time of the upstream's process, as its entry has it.
    std::uint64_t upstreamStartTimeMs = 0;
    Utils::ServiceId service;
    Routing::Endpoint endpoint;
    Tcp::socket socket;
    GuardedTimer timer;
    boost::beast::flat_buffer buffer;
    std::optional<boost::beast::http::request<boost::beast::http::span_body<const char>>> request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    /// Memory that the response in progress uses; see responsememory.h.
    std::size_t receivedBytes = 0;
    /// Responses that were received and did not belong to the request.
    unsigned skippedResponses = 0;
    /// The exchange that uses the connection; 0 while it is idle.
    std::uint64_t exchangeId = 0;
    /// The exchange that used it last.
    std::uint64_t lastExchangeId = 0;
    /// Whether the upstream has named the request in a response on this connection.
    bool namesRequests = false;
    /// Some of the request may have reached the upstream.
    bool requestHandedOver = false;
    bool requestWritten = false;
    /// The connection failed while the request was written, other than by an end that the upstream had sent
    /// before.
    bool hasWriteFailed = false;
    /// Whether sent data must be acknowledged soon; see setAcknowledgementLimit().
    bool hasAcknowledgementLimit = false;
    Utils::Instant connectedAt {};
    /// When the attempt in progress began.
    Utils::Instant startedAt {};
    Utils::Instant sentAt {};
    Utils::Instant idleSince {};
    /// Idle time after which the upstream may close the connection.
    Utils::Duration keepAliveTimeout {};
};

} // namespace Edge
