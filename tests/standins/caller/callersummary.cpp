#include <standins/caller/callersummary.h>

#include <algorithm>
#include <cstddef>

namespace StandInCaller {

namespace Internal {

constexpr double microsecondsPerMillisecond = 1000;

double percentileMilliseconds(const std::vector<std::chrono::microseconds>& sorted, std::size_t percent)
{
    if (sorted.empty())
        return 0;
    const std::size_t index = std::min(sorted.size() - 1, sorted.size() * percent / 100);
    return static_cast<double>(sorted[index].count()) / microsecondsPerMillisecond;
}

boost::json::object counts(const std::map<std::string, std::uint64_t>& byReason)
{
    boost::json::object object;
    for (const std::pair<const std::string, std::uint64_t>& entry : byReason)
        object[entry.first] = entry.second;
    return object;
}

} // namespace Internal

void addFinal(RankSummary& summary, const AttemptResult& result, std::chrono::microseconds latency)
{
    if (result.outcome == Requests::Outcome::Done) {
        ++summary.done;
        summary.latencies.push_back(latency);
    } else if (result.outcome == Requests::Outcome::NotRun) {
        ++summary.notRun[result.reason];
    } else {
        ++summary.unknown[result.reason];
    }
}

boost::json::object toJson(const std::string& rank, RankSummary summary)
{
    std::sort(summary.latencies.begin(), summary.latencies.end());
    boost::json::object object;
    object["rank"] = rank;
    object["offered"] = summary.offered;
    object["done"] = summary.done;
    object["not_run"] = Internal::counts(summary.notRun);
    object["unknown"] = Internal::counts(summary.unknown);
    object["p50_ms"] = Internal::percentileMilliseconds(summary.latencies, 50);
    object["p99_ms"] = Internal::percentileMilliseconds(summary.latencies, 99);
    object["late_sends"] = summary.late;
    object["repeats"] = summary.repeats;
    return object;
}

} // namespace StandInCaller
