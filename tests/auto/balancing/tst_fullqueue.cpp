#include <balancing/fullqueue.h>
#include <balancing/loadmodel.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };
constexpr unsigned slots = 4;

} // namespace

TEST_CASE(
    "An unanswered request shows a full queue only if later ones were answered under load", "[fullqueue]")
{
    struct Row {
        const char* name;
        unsigned outstanding;
        Utils::Duration lastAnsweredAfter;
        bool isFull;
    };
    const Row row = GENERATE(values<Row>({
        { "later ones answered, all slots taken", 6, 50ms, true },
        { "later ones answered, slots free: the response was lost", 2, 50ms, false },
        { "no later one answered: slow or crashed", 6, -50ms, false },
    }));
    INFO(row.name);
    UpstreamLoad load;
    ServiceStats stats;
    load.outstanding = row.outstanding;
    load.lastAnsweredSentAt = start + row.lastAnsweredAfter;
    const Utils::Instant at = start + 800ms;
    CHECK(recordUnanswered(load, stats, slots, start, at) == row.isFull);
    CHECK(isBelievedFull(load, stats, slots, at) == row.isFull);
    CHECK(load.consecutiveFailures == 0);
}

TEST_CASE("An upstream is believed full beyond the longest queue that was served", "[fullqueue]")
{
    struct Row {
        const char* name;
        unsigned outstanding;
        unsigned longestServedQueue;
        bool leavesRequests;
        Utils::Duration after;
        bool isFull;
    };
    const Row row = GENERATE(values<Row>({
        { "upstreams that reject what they can't queue", 50, 0, false, 2s, false },
        { "slots free", 3, 0, true, 2s, false },
        { "one may wait, whatever was seen", 4, 0, true, 2s, false },
        { "more wait than was ever served", 5, 0, true, 2s, true },
        { "as many were served", 11, 8, true, 2s, false },
        { "one more", 12, 8, true, 2s, true },
        { "right after it left a request", 1, 8, true, 0s, true },
        { "long after that", 12, 8, true, 60s, false },
    }));
    INFO(row.name);
    UpstreamLoad load;
    ServiceStats stats;
    recordServedQueue(stats, row.longestServedQueue);
    recordServedQueue(stats, 0);
    if (row.leavesRequests) {
        load.outstanding = slots;
        load.lastAnsweredSentAt = start;
        REQUIRE(recordUnanswered(load, stats, slots, start - 1s, start));
    }
    load.outstanding = row.outstanding;
    CHECK(isBelievedFull(load, stats, slots, start + row.after) == row.isFull);
    if (row.isFull)
        CHECK(timeToRoom(load, stats, slots, start + row.after) > Utils::Duration::zero());
}

namespace {

/// An upstream that leaves requests without a response beyond \c maxQueue waiting ones.
struct DroppingUpstream {
    static constexpr unsigned maxQueue = 4;
    static constexpr Utils::Duration workTime = 100ms;
    std::vector<Utils::Instant> slotFreeAt = std::vector<Utils::Instant>(slots, start);

    /// Returns when the request is answered, and how many wait then, or nothing if it is left.
    std::optional<Utils::Instant> take(Utils::Instant at)
    {
        const auto first = std::min_element(this->slotFreeAt.begin(), this->slotFreeAt.end());
        const Utils::Duration wait = std::max(*first - at, Utils::Duration::zero());
        if (wait > workTime * maxQueue / slots)
            return std::nullopt;
        *first = std::max(*first, at) + workTime;
        return *first;
    }
};

/// Requests that are left without a response in 20 s of one and a half times the upstream's rate.
unsigned countLeft(bool asksBeforeSending)
{
    constexpr Utils::Duration gap = 17ms;
    constexpr Utils::Duration attemptTimeout = 500ms;
    DroppingUpstream upstream;
    UpstreamLoad load;
    ServiceStats stats;
    stats.serviceTime = DroppingUpstream::workTime;
    struct End {
        Utils::Instant sentAt;
        bool isAnswered;
    };
    std::multimap<Utils::Instant, End> ends;
    unsigned left = 0;
    for (Utils::Instant at = start; at < start + 20s; at += gap) {
        while (!ends.empty() && ends.begin()->first <= at) {
            const Utils::Instant endAt = ends.begin()->first;
            const End end = ends.begin()->second;
            ends.erase(ends.begin());
            if (!end.isAnswered) {
                recordUnanswered(load, stats, slots, end.sentAt, endAt);
                recordAbandonedRequest(load);
                continue;
            }
            load.lastAnsweredSentAt = std::max(load.lastAnsweredSentAt, end.sentAt);
            ResponseSample sample;
            unsigned inside = 0;
            for (auto it = ends.begin(); it != ends.end(); ++it)
                inside += it->second.isAnswered ? 1 : 0;
            const unsigned running = std::min(inside, slots);
            sample.reportedLoad = Routing::ReportedLoad { running, inside - running, slots };
            recordServedQueue(stats, inside - running);
            recordResponse(load, stats, sample, endAt);
        }
        if (asksBeforeSending && isBelievedFull(load, stats, slots, at))
            continue;
        recordRequestSent(load, at);
        const std::optional<Utils::Instant> answeredAt = upstream.take(at);
        left += answeredAt ? 0 : 1;
        ends.emplace(answeredAt.value_or(at + attemptTimeout), End { at, answeredAt.has_value() });
    }
    return left;
}

} // namespace

TEST_CASE("Few requests are sent to an upstream that leaves them when it is full", "[fullqueue]")
{
    const unsigned without = countLeft(false);
    const unsigned with = countLeft(true);
    INFO("left without a response: " << without << ", with the mechanism " << with);
    CHECK(without > 100);
    CHECK(with * 5 < without);
}
