#pragma once

#include <gateway/gatewayconstants.h>
#include <utils/time.h>
#include <wire/wireconstants.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <vector>

namespace Gateway {

/// One connection to an upstream.
struct UpstreamConnection {
    explicit UpstreamConnection(const boost::asio::any_io_executor& executor)
        : stream(executor)
        , buffer(maxUnparsedBytes)
        , chunk(Wire::maxChunkBytes)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /// Where parts of an answer are read to.
    std::vector<char> chunk;
    /// End of the last answer.
    Utils::Instant lastUsed {};
};

} // namespace Gateway
