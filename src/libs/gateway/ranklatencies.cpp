#include <gateway/ranklatencies.h>

#include <metrics/exposition.h>

namespace Gateway {

void RankLatencies::record(const Utils::RankId& rank, Utils::Duration latency)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->histograms[rank].record(latency);
}

void RankLatencies::write(std::string& text, std::string_view name, std::string_view help) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Metrics::writeHeading(text, name, "histogram", help);
    for (const std::pair<const Utils::RankId, Metrics::LatencyHistogram>& entry : this->histograms)
        Metrics::writeHistogram(text, name, "rank", entry.first.value, entry.second);
}

} // namespace Gateway
