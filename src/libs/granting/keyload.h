#pragma once

#include <utils/time.h>

#include <cstdint>
#include <vector>

namespace Granting {

/// Request rate of each key of a service, as an exponential moving average over the reports of all VMs.
struct KeyLoad {
    /// Requests per second, by key; empty before the first request.
    std::vector<float> rates;
    Utils::Instant decayedAt {};
};

/// Half-life of a key's recorded rate. Short, because the busiest keys change within seconds.
inline constexpr Utils::Duration loadHalfLife = std::chrono::milliseconds(1500);

/// Adds \a count requests for \a key.
void addRequests(KeyLoad& load, std::uint16_t key, double count);

/// Decays the rates to \a now.
void decay(KeyLoad& load, Utils::Instant now);

} // namespace Granting
