#pragma once

#include <utils/time.h>

#include <chrono>
#include <cstddef>

namespace Requests {

/// Slices of the window over which retries are held against first attempts.
inline constexpr std::size_t retryWindowSlices = 10;
/// Length of one slice.
inline constexpr Utils::Duration retryWindowSlice = std::chrono::seconds(1);
/// Retries in a window that a rank with a budget may always make, so that one request on an idle VM can be
/// retried.
inline constexpr unsigned minRetriesPerWindow = 2;
/// Time of unused bits that a link budget keeps for a burst.
inline constexpr Utils::Duration linkBurst = std::chrono::milliseconds(100);

} // namespace Requests
