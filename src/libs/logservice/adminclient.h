#pragma once

#include <logservice/endpoint.h>
#include <logservice/httpstatus.h>
#include <logservice/platformerror.h>
#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <string>

namespace LogService {

/// The status that an instance gives on its admin port, as JSON text. Blocks the calling thread for at most
/// \a timeout; failures are a PlatformError.
boost::leaf::result<std::string> fetchStatus(const Endpoint& endpoint, Utils::Duration timeout);

} // namespace LogService
