#pragma once

#include <platform/keygrant.h>
#include <platform/storecalls.h>
#include <routing/endpoint.h>

/// The calls that give keys to a server and take them back.
namespace Platform {

HttpRequest grantCall(const Routing::Endpoint& server, const KeyGrant& grant);

/// The answer comes when work on the keys has ended.
HttpRequest releaseCall(const Routing::Endpoint& server, const Routing::KeySpan& span, std::uint64_t token);

/// Whether the server has seen a higher token.
bool isFencedOff(unsigned status);

} // namespace Platform
