#pragma once

#include <logservice/endpoint.h>
#include <logservice/httpstatus.h>
#include <logservice/platformerror.h>
#include <logservice/vmentry.h>
#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <vector>

namespace LogService {

/// The platform's list of VMs. Blocks the calling thread for at most \a timeout; failures are a
/// PlatformError.
boost::leaf::result<std::vector<VmEntry>> listVms(const Endpoint& endpoint, Utils::Duration timeout);

} // namespace LogService
