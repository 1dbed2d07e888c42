#pragma once

#include <platform/endpoint.h>
#include <platform/httpstatus.h>
#include <platform/platformerror.h>
#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <string>

namespace Platform {

/// The status that an instance gives on its admin port, as JSON text. Blocks the calling thread for at most
/// \a timeout; failures are a PlatformError.
boost::leaf::result<std::string> fetchStatus(const Endpoint& endpoint, Utils::Duration timeout);

} // namespace Platform
