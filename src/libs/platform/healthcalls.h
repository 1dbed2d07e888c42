#pragma once

#include <platform/storecalls.h>
#include <routing/endpoint.h>

#include <string>

namespace Platform {

/// Builds a request for the health of the server at \a endpoint, whose response carries its load.
/// \param path the health path of the server's service.
HttpRequest makeHealthRequest(const Routing::Endpoint& endpoint, const std::string& path);

} // namespace Platform
