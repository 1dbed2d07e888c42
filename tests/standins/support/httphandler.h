#pragma once

#include <standins/support/httpreply.h>
#include <standins/support/httprequest.h>

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace StandInSupport {

/// Answers one request; runs on the server's thread and may wait.
using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpRequest)>;

} // namespace StandInSupport
