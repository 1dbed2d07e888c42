#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/none.hpp>

#include <cstddef>

namespace Edge {

/// Sets the length of a forwarded request's body. Unlike prepare_payload() it accepts every method.
template <typename Request> void setRequestLength(Request& request, std::size_t bytes)
{
    namespace http = boost::beast::http;
    const bool isLengthUsual = request.method() == http::verb::post || request.method() == http::verb::put
        || request.method() == http::verb::patch;
    request.erase(http::field::transfer_encoding);
    if (bytes > 0 || isLengthUsual)
        request.content_length(bytes);
    else
        request.content_length(boost::none);
}

} // namespace Edge
