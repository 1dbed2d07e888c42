#include <granting/keyload.h>

#include <cmath>

namespace Granting {

namespace Internal {

constexpr std::size_t keyCount = std::size_t(UINT16_MAX) + 1;

} // namespace Internal

void addRequests(KeyLoad& load, std::uint16_t key, double count)
{
    if (load.rates.empty())
        load.rates.assign(Internal::keyCount, 0);
    // One request raises the mean rate by ln 2 / half-life.
    const double perRequest = std::log(2.0) / std::chrono::duration<double>(loadHalfLife).count();
    load.rates[key] += static_cast<float>(count * perRequest);
}

void decay(KeyLoad& load, Utils::Instant now)
{
    const double halfLives = std::chrono::duration<double>(now - load.decayedAt) / loadHalfLife;
    load.decayedAt = now;
    const float factor = static_cast<float>(std::exp2(-halfLives));
    for (float& rate : load.rates)
        rate *= factor;
}

} // namespace Granting
