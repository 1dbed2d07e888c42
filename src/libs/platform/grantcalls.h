#pragma once

#include <platform/keygrant.h>
#include <platform/storecalls.h>
#include <routing/endpoint.h>

/// The calls that give keys to a server and take them back.
namespace Platform {

/// Another server at \a endpoint than \a server refuses the call.
HttpRequest makeGrantRequest(
    const Routing::Endpoint& endpoint, const Utils::UpstreamId& server, const KeyGrant& grant);

/// The same; the answer comes when work on the keys has ended.
HttpRequest makeReleaseRequest(const Routing::Endpoint& endpoint, const Utils::UpstreamId& server,
    const Routing::KeySpan& span, std::uint64_t token);

/// Whether the server has seen a higher token.
bool isFencedOff(unsigned status);

} // namespace Platform
