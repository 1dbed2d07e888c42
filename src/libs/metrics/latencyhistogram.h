#pragma once

#include <utils/time.h>

#include <boost/histogram.hpp>

#include <cstdint>
#include <vector>

namespace Metrics {

/// Latencies in logarithmic buckets from 10 microseconds to 100 seconds. Any thread may record.
class LatencyHistogram {
public:
    /// One bucket as monitoring systems read it.
    struct Bucket {
        double upperSeconds = 0;
        /// Values up to \c upperSeconds.
        std::uint64_t cumulative = 0;
    };

    LatencyHistogram();

    void record(Utils::Duration latency);

    /// Values recorded.
    std::uint64_t count() const;

    /// Sum of the recorded values in seconds.
    double sumSeconds() const;

    /// The latency that \a quantile, 0..1, of the values do not exceed, to the upper end of its bucket; 0
    /// without values.
    double quantileSeconds(double quantile) const;

    /// All buckets in order, the values below the first included in it.
    std::vector<Bucket> buckets() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage
        = boost::histogram::dense_storage<boost::histogram::accumulators::count<std::uint64_t, true>>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> values;
    boost::histogram::accumulators::count<std::uint64_t, true> totalMicroseconds;
};

} // namespace Metrics
