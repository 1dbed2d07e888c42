#pragma once

#include <platform/keygrant.h>
#include <platform/storecalls.h>
#include <routing/endpoint.h>

/// Requests that grant keys to a server and release them again.
namespace Platform {

/// Builds a request that grants keys to \a server. A different server that listens at \a endpoint rejects it.
HttpRequest makeGrantRequest(
    const Routing::Endpoint& endpoint, const Utils::UpstreamId& server, const KeyGrant& grant);

/// Builds a request that takes the keys in \a span back from \a server. A different server that listens at
/// \a endpoint rejects it. The server responds once no request for these keys is in flight.
HttpRequest makeReleaseRequest(const Routing::Endpoint& endpoint, const Utils::UpstreamId& server,
    const Routing::KeySpan& span, std::uint64_t token);

/// Returns whether \a status says that the server has already seen a higher fencing token.
bool isFencedOff(unsigned status);

} // namespace Platform
