#pragma once

#include <soak/vmprocess.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Soak {

/// A time in which an upstream names a limit of its requests.
struct LimitPeriod {
    struct Arrival {
        Instant at {};
        std::string vm;
    };

    std::string upstream;
    double perSecond = 0;
    Instant from {};
    /// When each VM first passed on a response that names the limit.
    std::map<std::string, Instant> toldAt;
    std::optional<Instant> until;
    /// Requests that reached the upstream meanwhile from VMs that nothing had disturbed lately.
    std::vector<Arrival> arrivals;
};

} // namespace Soak
