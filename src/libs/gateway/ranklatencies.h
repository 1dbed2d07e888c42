#pragma once

#include <metrics/latencyhistogram.h>
#include <utils/ids.h>
#include <utils/time.h>

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Gateway {

/// A latency histogram for each rank. Any thread may use it.
class RankLatencies {
public:
    void record(const Utils::RankId& rank, Utils::Duration latency);

    /// Appends the samples of all ranks under \a name.
    void write(std::string& text, std::string_view name, std::string_view help) const;

private:
    mutable std::mutex mutex;
    std::map<Utils::RankId, Metrics::LatencyHistogram> histograms;
};

} // namespace Gateway
