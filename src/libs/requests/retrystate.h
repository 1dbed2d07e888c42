#pragma once

#include <requests/requestsconstants.h>
#include <requests/retryslice.h>
#include <utils/ids.h>

#include <array>
#include <map>

namespace Requests {

/// First attempts and retries of each rank over a sliding window.
struct RetryState {
    std::map<Utils::RankId, std::array<RetrySlice, retryWindowSlices>> windows;
};

} // namespace Requests
