#include "servicereport.h"

#include <algorithm>

namespace Measure {

Utils::Duration percentile(std::vector<Utils::Duration> values, unsigned percent)
{
    if (values.empty())
        return {};
    const std::size_t index = std::min(values.size() * percent / 100, values.size() - 1);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

double slotShare(const ServiceReport& report, const Utils::RankId& rank)
{
    const std::map<Utils::RankId, RankReport>::const_iterator found = report.ranks.find(rank);
    if (found == report.ranks.end())
        return 0;
    return static_cast<double>(found->second.takenTime.count())
        / static_cast<double>(report.slotTime.count());
}

double slotsBusy(const ServiceReport& report)
{
    double busy = 0;
    for (const std::pair<const Utils::RankId, RankReport>& rank : report.ranks)
        busy += slotShare(report, rank.first);
    return busy;
}

double slotsWorking(const ServiceReport& report)
{
    Utils::Duration working {};
    for (const std::pair<const Utils::RankId, RankReport>& rank : report.ranks)
        working += rank.second.slotTime;
    return static_cast<double>(working.count()) / static_cast<double>(report.slotTime.count());
}

} // namespace Measure
