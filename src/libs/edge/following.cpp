#include <edge/clock.h>
#include <edge/following.h>
#include <edge/storecaller.h>
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
        if (!error && !follower.paused && follower.call == 0)
            readOn(node, follower);
    });
}

void noteFailure(Node& node, TopicFollower& follower, StoreOutcome outcome)
{
    if (follower.failures++ == 0) {
        Logging::write(Logging::Level::Warning, "dependency_lost",
            { { "dependency", "store" }, { "topic", follower.topic },
                { "outcome", Utils::enumName(Platform::storeOutcomeNames, outcome) } });
    }
    Routing::noteDisturbance(node.beliefs.directory, now());
    readAfter(node, follower, std::min(firstRetry * std::min(follower.failures, 8U), longestRetry));
}

void noteSuccess(Node& node, TopicFollower& follower)
{
    follower.answeredAt = now();
    if (follower.failures == 0)
        return;
    Logging::write(Logging::Level::Info, "dependency_regained",
        { { "dependency", "store" }, { "topic", follower.topic }, { "failures", follower.failures } });
    follower.failures = 0;
    Routing::noteDisturbance(node.beliefs.directory, now());
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
        follower.snapshotEnd = page.end;
    follower.pages.insert(follower.pages.end(), page.records.begin(), page.records.end());
    if (page.more && !page.records.empty()) {
        readOn(node, follower);
        return;
    }
    const bool stale = follower.next && *follower.snapshotEnd < *follower.next;
    const std::vector<Platform::StoreRecord> records = std::move(follower.pages);
    const Utils::Offset end = *follower.snapshotEnd;
    follower.pages.clear();
    follower.snapshotEnd.reset();
    if (stale) {
        readAfter(node, follower, longestRetry);
        return;
    }
    follower.next = end;
    follower.renew = false;
    follower.onSnapshot(records, end);
    readAfter(node, follower, follower.pause);
}

void readSnapshot(Node& node, TopicFollower& follower)
{
    const std::string after = follower.pages.empty() ? std::string() : follower.pages.back().key;
    follower.call = callStore(node, Platform::newestCall(node.settings.store, follower.topic, after),
        answerTime + follower.patience, [&node, &follower](StoreOutcome outcome, const std::string& body) {
            follower.call = 0;
            if (outcome != StoreOutcome::Done) {
                follower.pages.clear();
                follower.snapshotEnd.reset();
                noteFailure(node, follower, outcome);
                return;
            }
            std::optional<Platform::StorePage> page
                = decoded(node, follower, [&body] { return Platform::decodeNewest(body); });
            if (page)
                takeSnapshotPage(node, follower, std::move(*page));
        });
}

/// Records were dropped before they were read: the newest of each key has to do. A topic without keys goes on
/// with the first that is left.
void skipExpired(Node& node, TopicFollower& follower, const std::string& body)
{
    Logging::write(Logging::Level::Warning, "records_expired", { { "topic", follower.topic } });
    Routing::noteDisturbance(node.beliefs.directory, now());
    if (Platform::isKeyed(follower.topic)) {
        follower.next.reset();
    } else {
        follower.next = leaf::try_handle_all(
            [&]() -> leaf::result<Utils::Offset> { return Platform::decodeFirstKept(body); },
            [&]() { return *follower.next; });
    }
    readAfter(node, follower, firstRetry);
}

void takeRead(Node& node, TopicFollower& follower, const Platform::StorePage& page)
{
    noteSuccess(node, follower);
    if (!page.records.empty())
        follower.next = page.records.back().offset + 1;
    if (!page.records.empty())
        follower.onRecords(page.records);
    if (follower.onRead)
        follower.onRead(page.end);
    readAfter(node, follower, follower.pause);
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
    const std::optional<Platform::StorePage> page = decoded(
        node, follower, [&] { return Platform::decodeRead(body, from, Platform::isKeyed(follower.topic)); });
    if (page)
        takeRead(node, follower, *page);
}

void readRecords(Node& node, TopicFollower& follower)
{
    const Utils::Offset from = *follower.next;
    // At first and after a failure the store is asked for what there is.
    const bool waits = follower.failures == 0 && follower.answeredAt != Utils::Instant {};
    const Utils::Duration wait = waits ? follower.wait : Utils::Duration::zero();
    follower.call = callStore(node, Platform::readCall(node.settings.store, follower.topic, from, wait),
        wait + answerTime, [&node, &follower, from](StoreOutcome outcome, const std::string& body) {
            follower.call = 0;
            takeReadAnswer(node, follower, from, outcome, body);
        });
}

void readOn(Node& node, TopicFollower& follower)
{
    const bool keyed = Platform::isKeyed(follower.topic);
    if (!follower.next && !keyed)
        follower.next = 0;
    if (follower.next && !follower.renew)
        readRecords(node, follower);
    else
        readSnapshot(node, follower);
}

} // namespace Internal

void startFollowing(Node& node, TopicFollower& follower) { Internal::readOn(node, follower); }

void pauseFollowing(Node& node, TopicFollower& follower)
{
    cancelCall(node.calls, follower.call);
    follower.call = 0;
    follower.timer.cancel();
    follower.pages.clear();
    follower.snapshotEnd.reset();
    follower.paused = true;
}

void resumeFollowing(Node& node, TopicFollower& follower)
{
    if (!follower.paused)
        return;
    follower.paused = false;
    follower.failures = 0;
    // The first read does not wait for records, so that it soon shows whether the store answers.
    follower.answeredAt = {};
    follower.renew = follower.newestOnly;
    Internal::readOn(node, follower);
}

} // namespace Edge
