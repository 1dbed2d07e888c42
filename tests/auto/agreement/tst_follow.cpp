#include "agreementfixture.h"

#include <agreement/checkpoint.h>
#include <agreement/fold.h>
#include <agreement/follow.h>
#include <agreement/recordcodec.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace AgreementFixture;
using Agreement::LogRecord;
using Agreement::LogState;
using Agreement::ReaderStatus;
using Agreement::RecordVariant;

LogState foldAll(const std::vector<LogRecord>& log)
{
    LogState state;
    for (const LogRecord& record : log)
        Agreement::applyText(state, record.offset, record.data, parseShort);
    return state;
}

void append(std::vector<LogRecord>& log, const RecordVariant& record)
{
    const std::int64_t timeMs = static_cast<std::int64_t>(log.size()) + 1;
    log.push_back({ log.size() + 1, timeMs, Agreement::encodeRecord(record) });
}

std::vector<LogRecord> from(const std::vector<LogRecord>& log, Utils::Offset first)
{
    return { log.begin() + static_cast<std::ptrdiff_t>(first - 1), log.end() };
}

/// A log whose record 5 is the checkpoint of the state after record \a through, with changes before and after
/// it.
std::vector<LogRecord> logWithCheckpoint(Utils::Offset through)
{
    std::vector<LogRecord> log;
    LogState atCheckpoint;
    const auto keep = [&](const RecordVariant& record) {
        append(log, record);
        if (log.size() <= through)
            atCheckpoint = foldAll(log);
    };
    keep(configuration(operatorHeader("ann", 1), 0, "p:a,b;q:a,b"));
    keep(assignment(vmHeader("vm-1", 1), "p", 0, "vm-1"));
    keep(assignment(vmHeader("vm-2", 1), "p", 2, "vm-2"));
    keep(assignment(vmHeader("vm-1", 2), "q", 0, "vm-1"));
    append(log, Agreement::makeCheckpoint(atCheckpoint, vmHeader("vm-2", 2)));
    append(log, settled(vmHeader("vm-2", 3), "p", 3, "vm-2"));
    append(log, configuration(operatorHeader("ann", 2), 1, "p:a,b,c;q:a,b"));
    return log;
}

} // namespace

TEST_CASE("a reader starts from a checkpoint when nothing after it is missing", "[follow]")
{
    struct Row {
        std::string name;
        Utils::Offset through;
        Utils::Offset first;
        ReaderStatus status;
    };
    const Row row = GENERATE(values<Row>({
        { "checkpoint of all before it, the rest expired", 4, 5, ReaderStatus::Following },
        { "checkpoint that raced a change still kept", 2, 3, ReaderStatus::Following },
        { "checkpoint that raced a change, older records kept too", 2, 2, ReaderStatus::Following },
        { "a record between checkpoint and its place expired", 2, 4, ReaderStatus::NeedsCheckpoint },
        { "the checkpoint itself expired", 4, 6, ReaderStatus::NeedsCheckpoint },
        { "nothing expired", 4, 1, ReaderStatus::Following },
    }));
    INFO(row.name);
    const std::vector<LogRecord> log = logWithCheckpoint(row.through);
    Agreement::LogReader reader;
    for (int round = 0; round < 3; ++round) {
        Agreement::noteFirst(reader, row.first);
        const Utils::Offset next = std::min<Utils::Offset>(reader.next, log.size() + 1);
        Agreement::foldRecords(reader, row.first, from(log, next), parseShort);
    }
    REQUIRE(reader.status == row.status);
    REQUIRE(reader.oldestNeededMs == (row.status == ReaderStatus::Following ? 5 : 0));
    if (row.status == ReaderStatus::Following)
        REQUIRE(reader.state == foldAll(log));
    else
        REQUIRE(reader.state == LogState {});
}

TEST_CASE("a reader that lagged past the retention keeps its state until a checkpoint covers it", "[follow]")
{
    std::vector<LogRecord> log = logWithCheckpoint(4);
    Agreement::LogReader reader;
    Agreement::foldRecords(reader, 1, { log[0], log[1] }, parseShort);
    const LogState before = reader.state;
    Agreement::foldRecords(reader, 6, from(log, 6), parseShort);
    REQUIRE(reader.status == ReaderStatus::NeedsCheckpoint);
    REQUIRE(reader.state == before);
    append(log, Agreement::makeCheckpoint(foldAll(log), vmHeader("vm-2", 4)));
    Agreement::foldRecords(reader, 7, from(log, reader.next), parseShort);
    REQUIRE(reader.status == ReaderStatus::Following);
    REQUIRE(reader.state == foldAll(log));
}

TEST_CASE("a checkpoint below what a reader has applied is never taken", "[follow]")
{
    const std::vector<LogRecord> log = logWithCheckpoint(2);
    Agreement::LogReader reader;
    Agreement::foldRecords(reader, 1, log, parseShort);
    const LogState before = reader.state;
    Agreement::noteFirst(reader, 20);
    REQUIRE(reader.status == ReaderStatus::NeedsCheckpoint);
    const std::vector<LogRecord> offered { { 20, 0, log[4].data } };
    Agreement::foldRecords(reader, 20, offered, parseShort);
    REQUIRE(reader.status == ReaderStatus::NeedsCheckpoint);
    REQUIRE(reader.state == before);
}

TEST_CASE("a running reader passes over a checkpoint that disagrees", "[follow]")
{
    std::vector<LogRecord> log = logWithCheckpoint(4);
    Agreement::LogReader reader;
    Agreement::foldRecords(reader, 1, log, parseShort);
    LogState empty;
    empty.agreed.applied = log.size();
    append(log, Agreement::makeCheckpoint(empty, operatorHeader("ann", 3)));
    const Agreement::AgreedState before = reader.state.agreed;
    Agreement::foldRecords(reader, 1, { log.back() }, parseShort);
    REQUIRE(reader.state.agreed.assignments == before.assignments);
    REQUIRE(reader.state.agreed.configurationOffset == before.configurationOffset);
}

TEST_CASE("checkpoints come due by age and by count", "[follow]")
{
    struct Row {
        Utils::Offset applied;
        int ageSeconds;
        bool due;
    };
    const Row row = GENERATE(values<Row>({ { 10, 10, false }, { 10, 24, false }, { 10, 25, true },
        { 10, 90, true }, { 4999, 1, false }, { 5000, 1, true } }));
    LogState state;
    state.agreed.applied = row.applied;
    REQUIRE(Agreement::checkpointDue(state, std::chrono::seconds(row.ageSeconds), std::chrono::seconds(100))
        == row.due);
}

namespace {

/// Any record that could follow \a log, right or wrong.
std::string randomText(const std::vector<LogRecord>& log)
{
    const Utils::Offset end = log.size() + 1;
    const std::uint64_t sequence = *rc::gen::inRange<std::uint64_t>(1, 6);
    const std::string vm = *rc::gen::elementOf(std::vector<std::string> { "vm-1", "vm-2", "vm-3" });
    const std::string pool = *rc::gen::elementOf(std::vector<std::string> { "p", "q" });
    const Utils::Offset base = *rc::gen::inRange<Utils::Offset>(0, end);
    const LogState state = foldAll(log);
    const std::map<Utils::PoolId, Agreement::PoolAssignment>::const_iterator present
        = state.agreed.assignments.find(Utils::PoolId { pool });
    const Utils::Offset token = present == state.agreed.assignments.end() ? 0 : present->second.token;
    const bool isRight = *rc::gen::arbitrary<bool>();
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return "garbage";
    case 1:
        return Agreement::encodeRecord(
            configuration(operatorHeader(vm, sequence), isRight ? state.agreed.configurationOffset : base,
                *rc::gen::elementOf(std::vector<std::string> { "p:a,b", "p:a,b;q:a,b", "q:a,b", "bad" })));
    case 2:
        return Agreement::encodeRecord(settled(vmHeader(vm, sequence), pool, isRight ? token : base, vm));
    case 3:
        return Agreement::encodeRecord(Agreement::makeCheckpoint(state, vmHeader(vm, sequence)));
    default:
        return Agreement::encodeRecord(assignment(vmHeader(vm, sequence), pool, isRight ? token : base, vm));
    }
}

std::vector<LogRecord> randomLog(std::size_t size)
{
    std::vector<LogRecord> log;
    while (log.size() < size)
        log.push_back({ log.size() + 1, 0, randomText(log) });
    return log;
}

/// Reads \a log in random batches that overlap, repeat and skip.
void readInBatches(Agreement::LogReader& reader, Utils::Offset first, const std::vector<LogRecord>& log)
{
    while (reader.next <= log.size()) {
        Agreement::noteFirst(reader, first);
        const Utils::Offset start = *rc::gen::inRange<Utils::Offset>(first, log.size() + 1);
        const std::size_t count = *rc::gen::inRange<std::size_t>(1, 6);
        std::vector<LogRecord> batch;
        for (Utils::Offset offset = start; offset <= log.size() && batch.size() < count; ++offset)
            batch.push_back(log[offset - 1]);
        Agreement::foldRecords(reader, first, batch, parseShort);
        batch.assign(log.begin() + static_cast<std::ptrdiff_t>(reader.next - 1), log.end());
        if (batch.size() > count)
            batch.resize(count);
        Agreement::foldRecords(reader, first, batch, parseShort);
    }
}

} // namespace

TEST_CASE("readers that fold the same records in any batches agree", "[follow]")
{
    const bool holds = rc::check("same state from any batches", [] {
        const std::vector<LogRecord> log = randomLog(*rc::gen::inRange<std::size_t>(1, 25));
        Agreement::LogReader reader;
        readInBatches(reader, 1, log);
        RC_ASSERT(reader.state == foldAll(log));
    });
    REQUIRE(holds);
}

TEST_CASE("a reader that starts late follows with the same state or waits", "[follow]")
{
    const bool holds = rc::check("same state from any checkpoint", [] {
        const std::vector<LogRecord> log = randomLog(*rc::gen::inRange<std::size_t>(1, 25));
        const Utils::Offset first = *rc::gen::inRange<Utils::Offset>(1, log.size() + 1);
        Agreement::LogReader reader;
        Agreement::noteFirst(reader, first);
        readInBatches(reader, first, log);
        if (reader.status == ReaderStatus::Following)
            RC_ASSERT(reader.state == foldAll(log));
        else
            RC_ASSERT(reader.state == LogState {});
    });
    REQUIRE(holds);
}
