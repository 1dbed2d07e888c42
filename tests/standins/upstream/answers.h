#pragma once

#include <standins/upstream/connectionid.h>

#include <boost/beast/http/status.hpp>

#include <string>
#include <string_view>

namespace StandInUpstream {

struct UpstreamServer;

/// Sends \a body as JSON.
void answerJson(UpstreamServer& server, ConnectionId id, boost::beast::http::status status, std::string body);

/// Says that the work was not run, and journals it.
void refuseWork(
    UpstreamServer& server, ConnectionId id, boost::beast::http::status status, std::string_view reason);

/// Sends the answer of work that has run: the echo or the bytes asked for, cut or lost when a fault says so.
void answerWork(UpstreamServer& server, ConnectionId id);

} // namespace StandInUpstream
