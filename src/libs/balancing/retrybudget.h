#pragma once

#include <utils/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Balancing {

/// Requests and retries of one service on this VM over a sliding window, counted in slices of equal length.
struct RetryBudget {
    static constexpr std::size_t sliceCount = 10;
    struct Slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    std::array<Slice, sliceCount> slices {};
};

/// Limits of the retries of one service on one VM.
struct RetryAllowance {
    /// Allowed retries per request.
    double ratio = 0.2;
    /// Additional retries allowed per window.
    double slack = 3;
    Utils::Duration window = std::chrono::seconds(10);
};

/// Returns one VM's share of the allowance \a whole of all VMs.
/// \param vmCount number of VMs; 0 if it is not known, in which case the VM gets no share of the slack.
/// \param uptime time since the VM started. In its first window it gets no share of the slack either, as the
/// VM that it replaces may have used it.
RetryAllowance shareAllowance(const RetryAllowance& whole, std::uint32_t vmCount, Utils::Duration uptime);

void recordRequest(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now);

/// Whether tryConsumeRetry() would permit a retry.
bool hasRetryAllowance(const RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now);

/// Counts a retry and returns true if the allowance permits it in the current window.
///
/// Load pattern: upstreams that reject or fail many requests of a service at once. Each VM keeps to its own
/// share of the budget, so the total stays within the limit without coordination between VMs.
[[nodiscard]] bool tryConsumeRetry(RetryBudget& budget, const RetryAllowance& allowance, Utils::Instant now);

} // namespace Balancing
