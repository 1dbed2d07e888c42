#pragma once

#include <utils/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Balancing {

/// Requests and repeats of one service on this VM over the last window, in slices of equal length.
struct RetryBudget {
    static constexpr std::size_t sliceCount = 10;
    struct Slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    std::array<Slice, sliceCount> slices {};
};

/// What one VM may spend.
struct RetryAllowance {
    /// Repeats for each request.
    double ratio = 0.2;
    /// Repeats in a window besides.
    double slack = 3;
    Utils::Duration window = std::chrono::seconds(10);
};

void recordRequest(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now);

/// Counts a repeat if the window has room for it.
///
/// Load pattern: upstreams that refuse or fail much of a service's work at once. Every VM keeps to its own
/// share, so the sum stays within what all may spend without their talking to one another.
[[nodiscard]] bool tryConsumeRetry(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now);

} // namespace Balancing
