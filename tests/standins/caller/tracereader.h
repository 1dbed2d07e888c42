#pragma once

#include <standins/caller/plannedrequest.h>
#include <standins/caller/traceerror.h>
#include <standins/caller/traceline.h>

#include <boost/leaf/result.hpp>

#include <chrono>
#include <istream>
#include <vector>

namespace StandInCaller {

/// Reads a trace of JSON lines
///
///     {"at_ms":120,"method":"GET","path":"/stock/key-1","rank":"urgent","caller":"kiosk-4","size":0}
///
/// in the order of \c at_ms. \c size is of the answer for GET and HEAD, of the body for others; \c rank, \c
/// caller, \c size and \c timeout_ms may be left out. Lines with \c event are passed over. Errors: TraceError
/// with a TraceLine.
boost::leaf::result<std::vector<PlannedRequest>> readTrace(
    std::istream& trace, std::chrono::milliseconds timeout);

} // namespace StandInCaller
