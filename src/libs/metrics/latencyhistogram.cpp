#include <metrics/latencyhistogram.h>

#include <algorithm>

namespace Metrics {

namespace Internal {

constexpr unsigned bucketCount = 70;
constexpr double lowestSeconds = 1e-5;
constexpr double highestSeconds = 100;
constexpr double microsecondsPerSecond = 1e6;

} // namespace Internal

LatencyHistogram::LatencyHistogram()
    : values(std::make_tuple(Axis(Internal::bucketCount, Internal::lowestSeconds, Internal::highestSeconds)),
        Storage())
{
}

void LatencyHistogram::record(Utils::Duration latency)
{
    const std::int64_t microseconds = std::max<std::int64_t>(latency.count(), 0);
    this->values(static_cast<double>(microseconds) / Internal::microsecondsPerSecond);
    this->totalMicroseconds += static_cast<std::uint64_t>(microseconds);
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t total = 0;
    for (int index = -1; index <= static_cast<int>(Internal::bucketCount); ++index)
        total += this->values.at(index).value();
    return total;
}

double LatencyHistogram::sumSeconds() const
{
    return static_cast<double>(this->totalMicroseconds.value()) / Internal::microsecondsPerSecond;
}

double LatencyHistogram::quantileSeconds(double quantile) const
{
    const std::uint64_t total = this->count();
    if (total == 0)
        return 0;
    const double wanted = quantile * static_cast<double>(total);
    for (const Bucket& bucket : this->buckets()) {
        if (static_cast<double>(bucket.cumulative) >= wanted)
            return bucket.upperSeconds;
    }
    return Internal::highestSeconds;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> result;
    result.reserve(Internal::bucketCount);
    std::uint64_t cumulative = this->values.at(-1).value();
    for (int index = 0; index < static_cast<int>(Internal::bucketCount); ++index) {
        cumulative += this->values.at(index).value();
        result.push_back({ this->values.axis().bin(index).upper(), cumulative });
    }
    return result;
}

} // namespace Metrics
