#pragma once

#include <standins/support/httpreply.h>
#include <standins/support/httprequest.h>

#include <functional>

namespace StandInSupport {

/// Takes the reply to one request, once.
using ReplyFunction = std::function<void(HttpReply)>;

/// Answers one request, now or later; runs on the server's thread.
using HttpHandler = std::function<void(HttpRequest, ReplyFunction)>;

} // namespace StandInSupport
