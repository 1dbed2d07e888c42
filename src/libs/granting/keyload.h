#pragma once

#include <utils/time.h>

#include <cstdint>
#include <vector>

namespace Granting {

/// Requests a second for each key of a service, as a moving mean over what all VMs report.
struct KeyLoad {
    std::vector<float> rates;
    Utils::Instant decayedAt {};
};

/// Half of what is known of a key's load is forgotten after this long; busy keys change within seconds.
inline constexpr Utils::Duration loadHalfLife = std::chrono::milliseconds(1500);

/// Adds \a count requests for \a key.
void addRequests(KeyLoad& load, std::uint16_t key, double count);

/// Brings the means to \a now.
void decay(KeyLoad& load, Utils::Instant now);

} // namespace Granting
