#pragma once

#include <platform/endpoint.h>
#include <platform/httpstatus.h>
#include <platform/platformerror.h>
#include <platform/vmentry.h>
#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <vector>

namespace Platform {

/// The platform's list of VMs. Blocks the calling thread for at most \a timeout; failures are a
/// PlatformError.
boost::leaf::result<std::vector<VmEntry>> listVms(const Endpoint& endpoint, Utils::Duration timeout);

} // namespace Platform
