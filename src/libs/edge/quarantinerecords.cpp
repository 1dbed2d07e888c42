#include <balancing/quarantinerecord.h>
#include <edge/clock.h>
#include <edge/crashreports.h>
#include <edge/quarantinerecords.h>
#include <edge/requestlog.h>
#include <edge/storecalls.h>
#include <edge/storeera.h>
#include <edge/topics.h>
#include <logging/log.h>
#include <platform/storecalls.h>
#include <utils/hash.h>

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace Edge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace Internal {

using Balancing::QuarantineRecord;
using Platform::StoreOutcome;

constexpr Utils::Duration recordTimeout = std::chrono::milliseconds(1200);
/// Time between two attempts to read or write the records.
constexpr Utils::Duration recordRetryInterval = std::chrono::seconds(1);
/// Records are read by every new leader, so a crash is written only when it is likely not to be withdrawn.
constexpr Utils::Duration settleTime = std::chrono::milliseconds(1500);
constexpr std::size_t maxRecordsPerAppend = 64;
/// Crashes of a record beyond this only make its quarantine longer.
constexpr std::size_t maxRecordedCrashes = 16;

std::int64_t timeOfDayMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string encodeRecord(const QuarantineRecord& record)
{
    return Platform::encodeKeyedRecord(formatFingerprint(record.fingerprint),
        json::serialize(
            json::object { { "crashes", record.crashes }, { "last_crash_ms", record.lastCrashMs } }));
}

std::optional<QuarantineRecord> decodeRecord(const Platform::StoreRecord& stored)
{
    QuarantineRecord record;
    const char* const end = stored.key.data() + stored.key.size();
    constexpr int hexadecimal = 16;
    const std::from_chars_result parsed
        = std::from_chars(stored.key.data(), end, record.fingerprint, hexadecimal);
    json::error_code error;
    const json::value value = json::parse(stored.value.value_or(""), error);
    const json::object* const object = error ? nullptr : value.if_object();
    const json::value* const crashes = object ? object->if_contains("crashes") : nullptr;
    const json::value* const lastCrash = object ? object->if_contains("last_crash_ms") : nullptr;
    const bool isReadable = parsed.ec == std::errc() && parsed.ptr == end && crashes && crashes->is_int64()
        && crashes->as_int64() > 0 && lastCrash && lastCrash->is_int64();
    if (!isReadable) {
        Logging::write(Logging::Level::Error, "record_skipped",
            { { "topic", quarantineTopic }, { "key", stored.key }, { "offset", stored.offset } });
        return std::nullopt;
    }
    record.crashes = std::min<std::size_t>(static_cast<std::size_t>(crashes->as_int64()), maxRecordedCrashes);
    record.lastCrashMs = lastCrash->as_int64();
    return record;
}

/// Records the crashes of a stored record as if they had been reported.
void applyRecord(Node& node, const QuarantineRecord& record)
{
    // The time of day may have been set back since.
    const std::int64_t ageMs = std::max<std::int64_t>(timeOfDayMs() - record.lastCrashMs, 0);
    Relay::CrashReportFrame frame;
    for (std::size_t crash = 0; crash < record.crashes; ++crash) {
        Relay::CrashReport report;
        report.id = Utils::stableHash(std::to_string(crash), record.fingerprint);
        report.fingerprint = record.fingerprint;
        report.upstream = report.id;
        report.sentAge = std::chrono::milliseconds(ageMs);
        report.endedAge = report.sentAge;
        frame.reports.push_back(report);
    }
    const bool isKnown = Balancing::countCrashes(node.traffic.poisonRequests, record.fingerprint) > 0;
    const bool isExpired = std::chrono::milliseconds(ageMs) > Balancing::suspectRetention;
    if (!isKnown && !isExpired)
        handleCrashReports(node, frame, false);
    Logging::write(Logging::Level::Info, "quarantine_read",
        { { "fingerprint", formatFingerprint(record.fingerprint) }, { "crashes", record.crashes },
            { "age_ms", ageMs }, { "known", isKnown } });
    node.quarantineRecords.written[record.fingerprint] = record.crashes;
}

void readRecords(Node& node)
{
    node.quarantineRecords.callInProgress = true;
    callStore(node, Platform::makeNewestRecordsRequest(node.settings.storeEndpoint, quarantineTopic, ""),
        recordTimeout, [&node](StoreOutcome outcome, const std::string& body) {
            node.quarantineRecords.callInProgress = false;
            if (outcome != StoreOutcome::Done)
                return;
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(page, Platform::decodeNewestRecordsResponse(body, storeEraOf(node)));
                    for (const Platform::StoreRecord& stored : page.records) {
                        if (const std::optional<QuarantineRecord> record = decodeRecord(stored))
                            applyRecord(node, *record);
                    }
                    node.quarantineRecords.isRead = true;
                    return {};
                },
                []() {
                    Logging::write(
                        Logging::Level::Error, "records_unreadable", { { "topic", quarantineTopic } });
                });
        });
}

/// Quarantined requests whose newest crashes are not in the store.
std::vector<QuarantineRecord> findUnwritten(const Node& node, Utils::Instant at)
{
    std::vector<QuarantineRecord> records;
    const Balancing::PoisonRequestTracker& tracker = node.traffic.poisonRequests;
    for (auto it = tracker.suspects.begin(); it != tracker.suspects.end(); ++it) {
        const std::size_t crashes = it->second.crashes.size();
        const auto written = node.quarantineRecords.written.find(it->first);
        const bool isWritten = written != node.quarantineRecords.written.end() && written->second >= crashes;
        const bool isSettled = at - it->second.changedAt >= settleTime;
        if (crashes < Balancing::crashesToQuarantine || isWritten || !isSettled
            || records.size() >= maxRecordsPerAppend)
            continue;
        records.push_back(
            { it->first, crashes, timeOfDayMs() - Utils::toMilliseconds(at - it->second.changedAt) });
    }
    return records;
}

void writeRecords(Node& node, const std::vector<QuarantineRecord>& records)
{
    node.quarantineRecords.callInProgress = true;
    std::vector<std::string> encoded;
    encoded.reserve(records.size());
    for (const QuarantineRecord& record : records)
        encoded.push_back(encodeRecord(record));
    Platform::AppendParameters parameters;
    parameters.topic = quarantineTopic;
    callStore(node, Platform::makeAppendRequest(node.settings.storeEndpoint, parameters, encoded),
        recordTimeout, [&node, records](StoreOutcome outcome, const std::string&) {
            node.quarantineRecords.callInProgress = false;
            if (outcome != StoreOutcome::Done)
                return;
            for (const QuarantineRecord& record : records)
                node.quarantineRecords.written[record.fingerprint] = record.crashes;
        });
}

} // namespace Internal

void syncQuarantineRecords(Node& node, Utils::Instant at)
{
    QuarantineRecords& state = node.quarantineRecords;
    if (state.callInProgress || at - state.lastCallAt < Internal::recordRetryInterval)
        return;
    if (!state.isRead) {
        state.lastCallAt = at;
        Internal::readRecords(node);
        return;
    }
    const std::vector<Balancing::QuarantineRecord> unwritten = Internal::findUnwritten(node, at);
    if (unwritten.empty())
        return;
    state.lastCallAt = at;
    Internal::writeRecords(node, unwritten);
}

void resetQuarantineRecords(Node& node)
{
    node.quarantineRecords.isRead = false;
    node.quarantineRecords.written.clear();
}

} // namespace Edge
