#include <edge/clock.h>
#include <edge/topicfollowing.h>
#include <edge/storecalls.h>
#include <logging/log.h>
#include <platform/fieldname.h>

#include <boost/leaf.hpp>

#include <algorithm>

namespace Edge {

namespace leaf = boost::leaf;

namespace Internal {

using ErrorCode = boost::system::error_code;
using Platform::StoreOutcome;

/// Time for an answer beyond the time that the store may wait; a slow store takes a third of a second.
constexpr Utils::Duration answerTime = std::chrono::milliseconds(1200);
/// Pauses after failures, the first and the longest.
constexpr Utils::Duration firstRetry = std::chrono::milliseconds(150);
constexpr Utils::Duration longestRetry = std::chrono::milliseconds(600);

void readOn(Node& node, TopicFollower& follower);

void readAfter(Node& node, TopicFollower& follower, Utils::Duration pause)
{
    if (pause <= Utils::Duration::zero()) {
        readOn(node, follower);
        return;
    }
    follower.timer.expires_after(pause);
    follower.timer.async_wait([&node, &follower](const ErrorCode& error) {
        if (!error && !follower.paused && follower.callId == 0)
            readOn(node, follower);
    });
}

void noteFailure(Node& node, TopicFollower& follower, StoreOutcome outcome)
{
    if (follower.consecutiveFailures++ == 0) {
        Logging::write(Logging::Level::Warning, "dependency_lost",
            { { "dependency", "store" }, { "topic", follower.topic },
                { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) } });
    }
    Routing::recordStoreOutage(node.clusterView.directory, now());
    readAfter(
        node, follower, std::min(firstRetry * std::min(follower.consecutiveFailures, 8U), longestRetry));
}

void noteSuccess(Node& node, TopicFollower& follower)
{
    follower.lastResponseAt = now();
    if (follower.consecutiveFailures == 0)
        return;
    Logging::write(Logging::Level::Info, "dependency_regained",
        { { "dependency", "store" }, { "topic", follower.topic },
            { "failures", follower.consecutiveFailures } });
    follower.consecutiveFailures = 0;
    Routing::recordStoreOutage(node.clusterView.directory, now());
}

/// Runs \a decode and hands a failure to the log, the counters and \a follower's retries.
template <typename Decode>
std::optional<Platform::StorePage> decoded(Node& node, TopicFollower& follower, Decode decode)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Platform::StorePage>> {
            BOOST_LEAF_AUTO(page, decode());
            return std::optional<Platform::StorePage>(std::move(page));
        },
        [&](Platform::DecodeError error) -> std::optional<Platform::StorePage> {
            node.counters.decodeErrors.add(error);
            noteFailure(node, follower, StoreOutcome::Malformed);
            return std::nullopt;
        },
        [&]() -> std::optional<Platform::StorePage> {
            noteFailure(node, follower, StoreOutcome::Malformed);
            return std::nullopt;
        });
}

void takeSnapshotPage(Node& node, TopicFollower& follower, Platform::StorePage page)
{
    noteSuccess(node, follower);
    // What is written while pages are read comes again by reading on from the first page's end.
    if (!follower.snapshotEnd)
        follower.snapshotEnd = page.endOffset;
    follower.snapshotRecords.insert(follower.snapshotRecords.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        readOn(node, follower);
        return;
    }
    const bool stale = follower.nextOffset && *follower.snapshotEnd < *follower.nextOffset;
    const std::vector<Platform::StoreRecord> records = std::move(follower.snapshotRecords);
    const Utils::Offset end = *follower.snapshotEnd;
    follower.snapshotRecords.clear();
    follower.snapshotEnd.reset();
    if (stale) {
        readAfter(node, follower, longestRetry);
        return;
    }
    follower.nextOffset = end;
    follower.snapshotNeeded = false;
    follower.onSnapshot(records, end);
    readAfter(node, follower, follower.readInterval);
}

void readSnapshot(Node& node, TopicFollower& follower)
{
    const std::string after
        = follower.snapshotRecords.empty() ? std::string() : follower.snapshotRecords.back().key;
    follower.callId = callStore(node,
        Platform::makeNewestRecordsRequest(node.settings.storeEndpoint, follower.topic, after),
        answerTime + follower.extraSnapshotTimeout,
        [&node, &follower](StoreOutcome outcome, const std::string& body) {
            follower.callId = 0;
            if (outcome != StoreOutcome::Done) {
                follower.snapshotRecords.clear();
                follower.snapshotEnd.reset();
                noteFailure(node, follower, outcome);
                return;
            }
            std::optional<Platform::StorePage> page
                = decoded(node, follower, [&body] { return Platform::decodeNewestRecordsResponse(body); });
            if (page)
                takeSnapshotPage(node, follower, std::move(*page));
        });
}

/// Records were dropped before they were read: the newest of each key has to do. A topic without keys goes on
/// with the first that is left.
void skipExpired(Node& node, TopicFollower& follower, const std::string& body)
{
    Logging::write(Logging::Level::Warning, "records_expired", { { "topic", follower.topic } });
    Routing::recordStoreOutage(node.clusterView.directory, now());
    if (Platform::isKeyed(follower.topic)) {
        follower.nextOffset.reset();
    } else {
        follower.nextOffset = leaf::try_handle_all(
            [&]() -> leaf::result<Utils::Offset> { return Platform::decodeFirstRetainedOffset(body); },
            [&]() { return *follower.nextOffset; });
    }
    readAfter(node, follower, firstRetry);
}

void takeRead(Node& node, TopicFollower& follower, const Platform::StorePage& page)
{
    noteSuccess(node, follower);
    if (!page.records.empty())
        follower.nextOffset = page.records.back().offset + 1;
    if (!page.records.empty())
        follower.onRecords(page.records);
    if (follower.onRead)
        follower.onRead(page.endOffset);
    readAfter(node, follower, follower.readInterval);
}

void takeReadAnswer(
    Node& node, TopicFollower& follower, Utils::Offset from, StoreOutcome outcome, const std::string& body)
{
    if (outcome == StoreOutcome::Expired) {
        skipExpired(node, follower, body);
        return;
    }
    if (outcome != StoreOutcome::Done) {
        noteFailure(node, follower, outcome);
        return;
    }
    const std::optional<Platform::StorePage> page = decoded(node, follower,
        [&] { return Platform::decodeReadResponse(body, from, Platform::isKeyed(follower.topic)); });
    if (page)
        takeRead(node, follower, *page);
}

void readRecords(Node& node, TopicFollower& follower)
{
    const Utils::Offset from = *follower.nextOffset;
    // At first and after a failure the store is asked for what there is.
    const bool waits = follower.consecutiveFailures == 0 && follower.lastResponseAt != Utils::Instant {};
    const Utils::Duration wait = waits ? follower.longPollTimeout : Utils::Duration::zero();
    follower.callId
        = callStore(node, Platform::makeReadRequest(node.settings.storeEndpoint, follower.topic, from, wait),
            wait + answerTime, [&node, &follower, from](StoreOutcome outcome, const std::string& body) {
                follower.callId = 0;
                takeReadAnswer(node, follower, from, outcome, body);
            });
}

void readOn(Node& node, TopicFollower& follower)
{
    const bool keyed = Platform::isKeyed(follower.topic);
    if (!follower.nextOffset && !keyed)
        follower.nextOffset = 0;
    if (follower.nextOffset && !follower.snapshotNeeded)
        readRecords(node, follower);
    else
        readSnapshot(node, follower);
}

} // namespace Internal

void startFollowing(Node& node, TopicFollower& follower) { Internal::readOn(node, follower); }

void pauseFollowing(Node& node, TopicFollower& follower)
{
    cancelCall(node.calls, follower.callId);
    follower.callId = 0;
    follower.timer.cancel();
    follower.snapshotRecords.clear();
    follower.snapshotEnd.reset();
    follower.paused = true;
}

void resumeFollowing(Node& node, TopicFollower& follower)
{
    if (!follower.paused)
        return;
    follower.paused = false;
    follower.consecutiveFailures = 0;
    // The first read does not wait for records, so that it soon shows whether the store answers.
    follower.lastResponseAt = {};
    follower.snapshotNeeded = follower.newestOnly;
    Internal::readOn(node, follower);
}

} // namespace Edge
