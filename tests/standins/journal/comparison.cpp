#include <standins/journal/comparison.h>

#include <algorithm>

namespace Journal {

namespace Internal {

constexpr double microsecondsPerMillisecond = 1000;

} // namespace Internal

std::uint64_t countOf(const Comparison& comparison, FindingKind kind)
{
    return static_cast<std::uint64_t>(std::count_if(comparison.findings.begin(), comparison.findings.end(),
        [kind](const Finding& finding) { return finding.kind == kind; }));
}

boost::json::object summaryLine(const Comparison& comparison)
{
    boost::json::object line;
    line["requests"] = comparison.requests;
    line["done"] = comparison.done;
    line["not_run"] = comparison.notRun;
    line["unknown"] = comparison.unknown;
    line["lost"] = countOf(comparison, FindingKind::Lost);
    line["doubled"] = countOf(comparison, FindingKind::Doubled);
    line["cut"] = countOf(comparison, FindingKind::Cut);
    return line;
}

boost::json::object detailLine(const Comparison& comparison)
{
    boost::json::object line;
    line["not_run_but_ran"] = countOf(comparison, FindingKind::NotRunButRan);
    line["overlaps"] = countOf(comparison, FindingKind::Overlap);
    line["orphaned_ms_max"]
        = static_cast<double>(comparison.orphanedMax) / Internal::microsecondsPerMillisecond;
    line["moves"] = comparison.moves;
    line["overcommits"] = comparison.overcommits;
    line["broken_answers"] = comparison.brokenAnswers;
    line["runs_beside"] = comparison.runsBeside;
    return line;
}

} // namespace Journal
