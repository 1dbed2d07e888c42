#include <standins/journal/runs.h>

#include <cstddef>
#include <map>
#include <tuple>
#include <utility>

namespace Journal {

namespace Internal {

/// The upstream, its start, and the system's id of the request.
using RunName = std::tuple<std::string, Utils::Incarnation, std::string>;

/// Runs so far, and those that have not ended, by name.
struct RunCollector {
    std::vector<Run> runs;
    std::map<RunName, std::size_t> open;
};

RunName nameOf(const UpstreamRow& row) { return { row.upstream, row.incarnation, row.requestId }; }

void startRun(RunCollector& collector, const UpstreamRow& row)
{
    Run run;
    run.upstream = row.upstream;
    run.incarnation = row.incarnation;
    run.requestId = row.requestId;
    run.request = row.request;
    run.attempt = row.attempt;
    run.idempotencyKey = row.idempotencyKey;
    run.method = row.method;
    run.shard = row.shard;
    run.startedAt = row.at;
    collector.open[nameOf(row)] = collector.runs.size();
    collector.runs.push_back(std::move(run));
}

void endRun(RunCollector& collector, const UpstreamRow& row, bool cancelled)
{
    const std::map<RunName, std::size_t>::const_iterator found = collector.open.find(nameOf(row));
    if (found == collector.open.end())
        return;
    Run& run = collector.runs[found->second];
    run.endedAt = row.at;
    run.cancelled = cancelled;
    collector.open.erase(found);
}

} // namespace Internal

std::vector<Run> collectRuns(const std::vector<UpstreamRow>& rows)
{
    Internal::RunCollector collector;
    for (const UpstreamRow& row : rows) {
        if (row.event == UpstreamEvent::RequestStarted)
            Internal::startRun(collector, row);
        else if (row.event == UpstreamEvent::RequestEnded)
            Internal::endRun(collector, row, false);
        else if (row.event == UpstreamEvent::RequestCancelled)
            Internal::endRun(collector, row, true);
    }
    return std::move(collector.runs);
}

} // namespace Journal
