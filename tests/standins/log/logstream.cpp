#include <standins/log/logstream.h>

namespace StandInLog {

std::uint64_t addRecord(LogStream& stream, const std::string& data, std::int64_t nowMs)
{
    stream.records.push_back({ stream.end, nowMs, data });
    return stream.end++;
}

void expireRecords(LogStream& stream, const LogOptions& options, std::int64_t nowMs)
{
    while (stream.records.size() > options.retentionCount)
        stream.records.pop_front();
    while (!stream.records.empty() && nowMs - stream.records.front().timeMs >= options.retentionMs)
        stream.records.pop_front();
}

std::uint64_t firstOffset(const LogStream& stream)
{
    return stream.records.empty() ? stream.end : stream.records.front().offset;
}

} // namespace StandInLog
