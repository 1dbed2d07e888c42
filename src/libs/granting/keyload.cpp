#include <granting/keyload.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Granting {

namespace Internal {

constexpr std::size_t keyCount = std::size_t(UINT16_MAX) + 1;
/// Adjacent keys whose rates rise together. A single key has too few requests to tell a rise from chance.
constexpr std::size_t keysPerBlock = 32;
/// Standard deviations by which the recent rate of a block exceeds its rate if it has risen.
constexpr double significantDeviations = 4;
/// Share of the difference between recent rate and rate that is added to the recent rate of a rising block:
/// both lag behind a rate that has just risen, the latter more.
constexpr double trendShare = 1;

/// Rates below are none, in requests per second. Keeps the rates of idle keys from becoming subnormal
/// numbers, which are slow to compute with.
constexpr float minRate = 1e-6F;
/// Reports that arrive within this time share one pass over all keys.
constexpr Utils::Duration minDecayTime = std::chrono::milliseconds(20);

/// Returns by how much one request raises the mean rate.
double perRequest(Utils::Duration halfLife)
{
    return std::log(2.0) / std::chrono::duration<double>(halfLife).count();
}

void decayRates(std::vector<float>& rates, Utils::Duration elapsed, Utils::Duration halfLife)
{
    const double halfLives = std::chrono::duration<double>(elapsed) / halfLife;
    const float factor = static_cast<float>(std::exp2(-halfLives));
    for (float& rate : rates)
        rate = rate < minRate ? 0 : rate * factor;
}

/// Returns the rate to plan for of a block of keys. Beyond chance the recent rate is preferred.
double estimateBlockRate(double rate, double recentRate)
{
    // The variance of an average over Poisson arrivals; one request is enough to raise the rate above zero.
    const double oneRequest = perRequest(recentLoadHalfLife);
    const double deviation = std::sqrt(std::max(rate, oneRequest) * oneRequest / 2);
    if (recentRate > rate + significantDeviations * deviation)
        return recentRate + trendShare * (recentRate - rate);
    return recentRate < rate - significantDeviations * deviation ? recentRate : rate;
}

} // namespace Internal

void addRequests(KeyLoad& load, std::uint16_t key, double count)
{
    if (load.rates.empty()) {
        load.rates.assign(Internal::keyCount, 0);
        load.recentRates.assign(Internal::keyCount, 0);
    }
    load.rates[key] += static_cast<float>(count * Internal::perRequest(loadHalfLife));
    load.recentRates[key] += static_cast<float>(count * Internal::perRequest(recentLoadHalfLife));
}

void decay(KeyLoad& load, Utils::Instant now)
{
    if (now - load.decayedAt < Internal::minDecayTime)
        return;
    Internal::decayRates(load.rates, now - load.decayedAt, loadHalfLife);
    Internal::decayRates(load.recentRates, now - load.decayedAt, recentLoadHalfLife);
    load.decayedAt = now;
}

std::vector<float> estimateRates(const KeyLoad& load)
{
    std::vector<float> estimates = load.rates;
    for (std::size_t first = 0; first + Internal::keysPerBlock <= load.recentRates.size();
         first += Internal::keysPerBlock) {
        const auto rates = load.rates.begin() + static_cast<std::ptrdiff_t>(first);
        const auto recent = load.recentRates.begin() + static_cast<std::ptrdiff_t>(first);
        const double rate = std::accumulate(rates, rates + Internal::keysPerBlock, 0.0);
        const double recentRate = std::accumulate(recent, recent + Internal::keysPerBlock, 0.0);
        const double expected = Internal::estimateBlockRate(rate, recentRate);
        // A block that has risen has too few requests before to tell its keys apart, one that falls none
        // since.
        const std::vector<float>& shape = expected > rate ? load.recentRates : load.rates;
        const double factor = expected / std::max(expected > rate ? recentRate : rate, 1e-9);
        for (std::size_t key = first; expected != rate && key < first + Internal::keysPerBlock; ++key)
            estimates[key] = static_cast<float>(shape[key] * factor);
    }
    return estimates;
}

} // namespace Granting
