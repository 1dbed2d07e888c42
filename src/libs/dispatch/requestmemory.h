#pragma once

#include <dispatch/rememberedrequest.h>
#include <dispatch/requestkey.h>
#include <utils/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace Dispatch {

/// The non-idempotent requests that may have run, for their window.
struct RequestMemory {
    std::map<RequestKey, RememberedRequest> requests;
    std::set<std::pair<Utils::Instant, RequestKey>> expiries;
    /// Requests with a stored answer, oldest first.
    std::deque<RequestKey> stored;
    std::uint64_t storedBytes = 0;
};

} // namespace Dispatch
