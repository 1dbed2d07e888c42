#pragma once

#include <routing/endpoint.h>

#include <boost/leaf/result.hpp>

#include <string_view>

namespace Platform {

/// Parses an IPv4 address with a port such as "10.1.0.15:8641". Fails with DecodeError::OutOfRange.
boost::leaf::result<Routing::Endpoint> parseEndpoint(std::string_view text);

} // namespace Platform
