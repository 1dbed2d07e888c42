#include "agreementfixture.h"

#include <agreement/recordcodec.h>

#include <sstream>

namespace AgreementFixture {

namespace {

Declarations::UpstreamPool parsePool(const std::string& name, const std::string& list)
{
    Declarations::UpstreamPool pool;
    pool.id = Utils::PoolId { name };
    std::istringstream words(list);
    std::string word;
    while (std::getline(words, word, ',')) {
        Declarations::Upstream upstream;
        upstream.leaving = word.ends_with('-');
        upstream.id = Utils::UpstreamId { word.substr(0, word.find('-')) };
        pool.upstreams[upstream.id] = upstream;
    }
    return pool;
}

Declarations::KeyRange rangeOf(const std::string& pool)
{
    Declarations::KeyRange range;
    range.id = Utils::KeyRangeId { "range-" + pool };
    range.service = Utils::ServiceId { "service-" + pool };
    range.pool = Utils::PoolId { pool };
    range.shards = 2;
    return range;
}

} // namespace

std::optional<Declarations::Configuration> parseShort(std::string_view text)
{
    if (text == "bad")
        return std::nullopt;
    Declarations::Configuration configuration;
    std::istringstream pools { std::string(text) };
    std::string word;
    while (std::getline(pools, word, ';')) {
        const std::string name = word.substr(0, word.find(':'));
        configuration.pools[Utils::PoolId { name }] = parsePool(name, word.substr(name.size() + 1));
        const Declarations::KeyRange range = rangeOf(name);
        configuration.keyRanges[range.id] = range;
    }
    return configuration;
}

Agreement::RecordHeader operatorHeader(const std::string& name, std::uint64_t sequence)
{
    return { { Agreement::WriterKind::Operator, name, 1 }, sequence };
}

Agreement::RecordHeader vmHeader(const std::string& name, std::uint64_t sequence)
{
    return { { Agreement::WriterKind::Vm, name, 1 }, sequence };
}

Agreement::ConfigurationRecord configuration(
    const Agreement::RecordHeader& header, Utils::Offset base, const std::string& text)
{
    return { header, base, text };
}

Agreement::AssignmentRecord assignment(const Agreement::RecordHeader& header, const std::string& pool,
    Utils::Offset basedOn, const std::string& dispatcher)
{
    Agreement::AssignmentRecord record;
    record.header = header;
    record.pool = Utils::PoolId { pool };
    record.basedOn = basedOn;
    record.dispatcher = { Utils::VmId { dispatcher }, 1 };
    record.successor = { Utils::VmId { "vm-z" }, 1 };
    record.upstreams = { { Utils::UpstreamId { "a" }, 7 }, { Utils::UpstreamId { "b" }, 8 } };
    for (const char* const bucket : { "/0", "/1" })
        record.shards[Utils::ShardId { "range-" + pool + bucket }]
            = { Utils::UpstreamId { "a" }, Utils::UpstreamId { "b" } };
    return record;
}

Agreement::SettledRecord settled(const Agreement::RecordHeader& header, const std::string& pool,
    Utils::Offset token, const std::string& dispatcher)
{
    return { header, Utils::PoolId { pool }, token, { Utils::VmId { dispatcher }, 1 } };
}

std::vector<Agreement::LogRecord> logOf(
    const std::vector<Agreement::RecordVariant>& records, Utils::Offset from)
{
    std::vector<Agreement::LogRecord> log;
    log.reserve(records.size());
    for (const Agreement::RecordVariant& record : records)
        log.push_back({ from + log.size(), 0, Agreement::encodeRecord(record) });
    return log;
}

} // namespace AgreementFixture
