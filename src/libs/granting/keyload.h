#pragma once

#include <utils/time.h>

#include <cstdint>
#include <vector>

namespace Granting {

/// Request rate of each key of a service, as exponential moving averages over the reports of all VMs.
struct KeyLoad {
    /// Requests per second, by key; empty before the first request.
    std::vector<float> rates;
    /// The same over a shorter time; empty before the first request.
    std::vector<float> recentRates;
    Utils::Instant decayedAt {};
};

/// Half-life of a key's recorded rate. Short, because the busiest keys change within seconds.
inline constexpr Utils::Duration loadHalfLife = std::chrono::milliseconds(1500);
/// Half-life of a key's recent rate: no shorter than the time between two reports of a VM allows.
inline constexpr Utils::Duration recentLoadHalfLife = std::chrono::milliseconds(350);

/// Adds \a count requests for \a key.
void addRequests(KeyLoad& load, std::uint16_t key, double count);

/// Decays the rates to \a now.
void decay(KeyLoad& load, Utils::Instant now);

/// Returns the rate to plan for, by key; empty before the first request.
///
/// Load pattern: a span of adjacent keys becomes busy at once. The rate of a block of keys rises with its
/// recent rate as soon as that is beyond chance, and falls with its half-life.
std::vector<float> estimateRates(const KeyLoad& load);

} // namespace Granting
