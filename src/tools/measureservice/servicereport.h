#pragma once

#include "rankreport.h"

#include <utils/ids.h>
#include <utils/time.h>

#include <cstdint>
#include <map>

namespace Measure {

/// What one run showed.
struct ServiceReport {
    std::map<Utils::RankId, RankReport> ranks;
    /// Slot time that there was.
    Utils::Duration slotTime {};
    /// Works sent to upstreams, and the distinct requests among them.
    std::uint64_t sent = 0;
    std::uint64_t sentRequests = 0;
    /// Attempts of entry VMs, and the requests that they were for.
    std::uint64_t attempts = 0;
    std::uint64_t requests = 0;
    /// Most works that ran on one upstream at a time.
    unsigned mostRunning = 0;
};

/// The \a percent percentile of \a values; zero of none.
Utils::Duration percentile(std::vector<Utils::Duration> values, unsigned percent);

/// Part of the slot time in which upstreams worked, 0..1.
double slotsWorking(const ServiceReport& report);

/// Part of the slot time that was taken by a work, its way there and back included; above 1 when more is sent
/// than there are slots.
double slotsBusy(const ServiceReport& report);

/// Part of the slot time that the rank's works took, their way there and back included.
double slotShare(const ServiceReport& report, const Utils::RankId& rank);

} // namespace Measure
