#include <standins/journal/requestcomparison.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Journal {

namespace Internal {

/// All that the journals tell of one request.
struct RequestRecord {
    std::int64_t offeredAt = 0;
    std::vector<const CallerRow*> attempts;
    const CallerRow* last = nullptr;
    std::vector<const Run*> runs;
};

using RequestRecords = std::map<std::string, RequestRecord>;

/// A sending that failed to connect is told as not run by the caller itself.
bool isToldNotRun(const CallerRow& row) { return row.outcome == Requests::Outcome::NotRun; }

bool isWrongAnswer(const CallerRow& row)
{
    return row.outcome == Requests::Outcome::Done
        && (row.answer == AnswerState::Cut || row.answer == AnswerState::Foreign);
}

RequestRecords collectRecords(const std::vector<CallerRow>& callers, const std::vector<Run>& runs)
{
    RequestRecords records;
    for (const CallerRow& row : callers) {
        RequestRecord& record = records[row.request];
        if (row.event == CallerEvent::Offered)
            record.offeredAt = row.at;
        else if (row.event == CallerEvent::Attempt)
            record.attempts.push_back(&row);
        else
            record.last = &row;
    }
    for (const Run& run : runs) {
        const RequestRecords::iterator found = records.find(run.request);
        if (found != records.end() && !run.cancelled)
            found->second.runs.push_back(&run);
    }
    return records;
}

bool wasRunToItsEnd(const RequestRecord& record)
{
    return std::any_of(
        record.runs.begin(), record.runs.end(), [](const Run* run) { return run->endedAt != 0; });
}

bool isLost(const RequestRecord& record)
{
    if (record.last == nullptr)
        return true;
    return record.last->outcome == Requests::Outcome::Done && !wasRunToItsEnd(record);
}

bool isCut(const RequestRecord& record)
{
    if (std::any_of(record.attempts.begin(), record.attempts.end(),
            [](const CallerRow* attempt) { return isWrongAnswer(*attempt); }))
        return true;
    if (record.last == nullptr)
        return false;
    const bool brokeOffForGood
        = record.last->outcome != Requests::Outcome::Done && record.last->answer == AnswerState::Broken;
    return brokeOffForGood || isWrongAnswer(*record.last);
}

bool ranInAttempt(const RequestRecord& record, unsigned attempt)
{
    return std::any_of(record.runs.begin(), record.runs.end(),
        [attempt](const Run* run) { return run->attempt == attempt; });
}

bool isNotRunButRan(const RequestRecord& record)
{
    if (record.last != nullptr && isToldNotRun(*record.last) && !record.runs.empty())
        return true;
    return std::any_of(record.attempts.begin(), record.attempts.end(), [&record](const CallerRow* attempt) {
        return isToldNotRun(*attempt) && ranInAttempt(record, attempt->attempt);
    });
}

void addFindings(Comparison& comparison, const std::string& request, const RequestRecord& record)
{
    Finding finding;
    finding.subject = request;
    finding.at = record.offeredAt;
    for (const Run* run : record.runs)
        finding.upstreams += (finding.upstreams.empty() ? "" : " ") + run->upstream;
    const std::array<std::pair<FindingKind, bool>, 3> verdicts { {
        { FindingKind::Lost, isLost(record) },
        { FindingKind::Cut, isCut(record) },
        { FindingKind::NotRunButRan, isNotRunButRan(record) },
    } };
    for (const std::pair<FindingKind, bool>& verdict : verdicts) {
        if (!verdict.second)
            continue;
        finding.kind = verdict.first;
        comparison.findings.push_back(finding);
    }
}

void countOutcome(Comparison& comparison, const RequestRecord& record)
{
    ++comparison.requests;
    for (const CallerRow* attempt : record.attempts)
        comparison.brokenAnswers += attempt->answer == AnswerState::Broken ? 1 : 0;
    if (record.last == nullptr)
        return;
    if (record.last->outcome == Requests::Outcome::Done)
        ++comparison.done;
    else if (record.last->outcome == Requests::Outcome::NotRun)
        ++comparison.notRun;
    else
        ++comparison.unknown;
}

void findDoubled(Comparison& comparison, const std::vector<Run>& runs)
{
    std::map<std::string, std::vector<const Run*>> byKey;
    for (const Run& run : runs) {
        if (!run.idempotencyKey.empty() && !run.cancelled)
            byKey[run.idempotencyKey].push_back(&run);
    }
    for (const std::pair<const std::string, std::vector<const Run*>>& entry : byKey) {
        if (entry.second.size() < 2)
            continue;
        Finding finding;
        finding.kind = FindingKind::Doubled;
        finding.subject = entry.first;
        finding.upstreams = entry.second[0]->upstream + " " + entry.second[1]->upstream;
        finding.at = entry.second[1]->startedAt;
        comparison.findings.push_back(std::move(finding));
    }
}

} // namespace Internal

void compareRequests(
    Comparison& comparison, const std::vector<CallerRow>& callers, const std::vector<Run>& runs)
{
    const Internal::RequestRecords records = Internal::collectRecords(callers, runs);
    for (const std::pair<const std::string, Internal::RequestRecord>& entry : records) {
        Internal::countOutcome(comparison, entry.second);
        Internal::addFindings(comparison, entry.first, entry.second);
    }
    Internal::findDoubled(comparison, runs);
}

} // namespace Journal
