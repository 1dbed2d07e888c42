#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace StandInUpstream {

/// A large answer on its way out, a piece at a time.
struct StreamedAnswer {
    boost::beast::http::response<boost::beast::http::buffer_body> message;
    boost::beast::http::response_serializer<boost::beast::http::buffer_body> serializer { message };
    std::uint64_t seed = 0;
    std::uint64_t position = 0;
    std::uint64_t size = 0;
    /// Where the connection is closed; \c size when the answer is not cut.
    std::uint64_t end = 0;
    std::vector<char> piece;
};

/// Puts the next piece into the message's body.
void loadNextPiece(StreamedAnswer& answer);

} // namespace StandInUpstream
