#include <agreement/checkpoint.h>
#include <agreement/fold.h>
#include <agreement/recordcodec.h>

#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include <array>
#include <chrono>
#include <iostream>
#include <optional>
#include <string>

namespace {

using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

/// Size of one measured log.
struct LogSize {
    std::size_t pools = 0;
    std::size_t upstreams = 0;
    unsigned shards = 0;
};

constexpr std::array<LogSize, 6> logSizes { {
    { 4, 13, 32 },
    { 4, 13, 128 },
    { 4, 100, 128 },
    { 16, 13, 32 },
    { 64, 13, 32 },
    { 256, 10, 32 },
} };

constexpr int rounds = 20;

std::string poolName(std::size_t number) { return "pool-" + std::to_string(number); }

std::string upstreamName(std::size_t pool, std::size_t number)
{
    return poolName(pool) + "-upstream-" + std::to_string(number);
}

Declarations::Configuration makeConfiguration(const LogSize& size)
{
    Declarations::Configuration configuration;
    for (std::size_t number = 0; number < size.pools; ++number) {
        Declarations::UpstreamPool pool;
        pool.id = Utils::PoolId { poolName(number) };
        for (std::size_t upstream = 0; upstream < size.upstreams; ++upstream) {
            const Utils::UpstreamId id { upstreamName(number, upstream) };
            pool.upstreams[id].id = id;
        }
        Declarations::KeyRange range;
        range.id = Utils::KeyRangeId { "range-" + std::to_string(number) };
        range.service = Utils::ServiceId { "service-" + std::to_string(number) };
        range.pool = pool.id;
        range.shards = size.shards;
        configuration.keyRanges[range.id] = range;
        configuration.pools[pool.id] = std::move(pool);
    }
    return configuration;
}

Agreement::AssignmentRecord makeAssignment(
    const LogSize& size, std::size_t pool, std::uint64_t sequence, Utils::Offset basedOn)
{
    Agreement::AssignmentRecord record;
    record.header = { { Agreement::WriterKind::Vm, "west-1-a", 1796347115453 }, sequence };
    record.pool = Utils::PoolId { poolName(pool) };
    record.basedOn = basedOn;
    record.dispatcher = { Utils::VmId { "west-1-a" }, 1796347115453 };
    record.successor = { Utils::VmId { "west-2-a" }, 1796347115454 };
    for (std::size_t upstream = 0; upstream < size.upstreams; ++upstream)
        record.upstreams[Utils::UpstreamId { upstreamName(pool, upstream) }] = 1796347115455;
    for (unsigned shard = 0; shard < size.shards; ++shard) {
        const Utils::ShardId id { "range-" + std::to_string(pool) + "/" + std::to_string(shard) };
        record.shards[id] = { Utils::UpstreamId { upstreamName(pool, shard % size.upstreams) },
            Utils::UpstreamId { upstreamName(pool, (shard + 1) % size.upstreams) } };
    }
    return record;
}

/// What a fold came to, and what it cost.
struct Measured {
    Agreement::LogState state;
    std::size_t assignmentBytes = 0;
    double foldMicroseconds = 0;
    std::size_t records = 0;
};

void fold(
    Measured& measured, const Agreement::RecordVariant& record, const Agreement::ConfigurationParser& parse)
{
    const std::string text = Agreement::encodeRecord(record);
    const Clock::time_point start = Clock::now();
    Agreement::applyText(measured.state, measured.state.agreed.applied + 1, text, parse);
    measured.foldMicroseconds += Microseconds(Clock::now() - start).count();
    ++measured.records;
    if (std::holds_alternative<Agreement::AssignmentRecord>(record))
        measured.assignmentBytes = text.size();
}

/// Folds assignments of every pool in turn, each settled.
Measured measureFold(const LogSize& size, const Agreement::ConfigurationParser& parse)
{
    Measured measured;
    Agreement::ConfigurationRecord configuration;
    configuration.header = { { Agreement::WriterKind::Operator, "operator", 1 }, 1 };
    Agreement::applyRecord(measured.state, 1, configuration, parse);
    std::uint64_t sequence = 0;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t pool = 0; pool < size.pools; ++pool) {
            const Utils::PoolId id { poolName(pool) };
            const Utils::Offset token = round == 0 ? 0 : measured.state.agreed.assignments.at(id).token;
            const Agreement::AssignmentRecord record = makeAssignment(size, pool, ++sequence, token);
            fold(measured, record, parse);
            const Agreement::SettledRecord settled { { record.header.writer, ++sequence }, id,
                measured.state.agreed.applied, record.dispatcher };
            fold(measured, settled, parse);
        }
    }
    return measured;
}

boost::json::object measure(const LogSize& size)
{
    const Declarations::Configuration configuration = makeConfiguration(size);
    const Measured measured = measureFold(size, [&configuration](std::string_view) {
        return std::optional<Declarations::Configuration>(configuration);
    });
    const Clock::time_point start = Clock::now();
    const std::string checkpoint
        = Agreement::encodeRecord(Agreement::makeCheckpoint(measured.state, { { {}, "west-1-a", 1 }, 1 }));
    const double checkpointMicroseconds = Microseconds(Clock::now() - start).count();
    boost::json::object line;
    line["pools"] = size.pools;
    line["upstreams"] = size.upstreams;
    line["shards"] = size.shards;
    line["assignment_bytes"] = measured.assignmentBytes;
    line["checkpoint_bytes"] = checkpoint.size();
    line["checkpoint_encode_us"] = checkpointMicroseconds;
    line["fold_us_per_record"] = measured.foldMicroseconds / static_cast<double>(measured.records);
    return line;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the size of records and the time to fold them.", ' ', "0.1");
    line.parse(argc, argv);
    for (const LogSize& size : logSizes)
        std::cout << measure(size) << "\n";
    return 0;
}
