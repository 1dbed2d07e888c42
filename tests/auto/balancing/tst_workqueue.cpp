#include <balancing/workqueue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Balancing;
using namespace std::chrono_literals;
using Utils::Duration;
using Utils::Instant;

namespace {

constexpr Instant now { 100s };

WaitingRequest makeRequest(std::uint64_t id, unsigned priority, Duration toTarget)
{
    return { id, priority, now, now + toTarget, now + toTarget + 1s, 100ms, false, false, 100 };
}

std::vector<std::uint64_t> drain(WorkQueue& queue)
{
    std::vector<std::uint64_t> ids;
    while (const std::optional<std::uint64_t> id = takeNext(queue, now))
        ids.push_back(*id);
    return ids;
}

} // namespace

TEST_CASE("requests are sent in order of rank and remaining time", "[workqueue]")
{
    WorkQueue queue;
    addWaiting(queue, makeRequest(1, 1, 200ms));
    addWaiting(queue, makeRequest(2, 0, 900ms));
    // Can only meet its deadline.
    addWaiting(queue, makeRequest(3, 0, 50ms));
    addWaiting(queue, makeRequest(4, 0, 400ms));
    WaitingRequest retry = makeRequest(5, 0, 800ms);
    retry.isCallerRetry = true;
    addWaiting(queue, retry);
    WaitingRequest returned = makeRequest(6, 0, 950ms);
    returned.isReturned = true;
    addWaiting(queue, returned);
    CHECK(drain(queue) == std::vector<std::uint64_t> { 6, 5, 4, 2, 3, 1 });
    CHECK(queue.bytes == 0);
}

TEST_CASE("a small share of the sends is left to less urgent requests", "[workqueue]")
{
    WorkQueue queue;
    for (std::uint64_t id = 0; id < 64; ++id)
        addWaiting(queue, makeRequest(id, 0, 10s));
    addWaiting(queue, makeRequest(100, 1, 10s));
    addWaiting(queue, makeRequest(101, 2, 10s));
    queue.requests.back().waitingSince = now - 1s;
    std::vector<std::uint64_t> ids = drain(queue);
    const auto lowest = std::find(ids.begin(), ids.end(), 101);
    const auto middle = std::find(ids.begin(), ids.end(), 100);
    CHECK(lowest - ids.begin() == 15);
    CHECK(middle - ids.begin() == 31);
}

TEST_CASE("what can't be done in time is rejected at once", "[workqueue]")
{
    struct Row {
        const char* name;
        /// Requests of the same rank ahead, and places at upstreams.
        unsigned ahead;
        unsigned places;
        Duration toTarget;
        Duration toDeadline;
        bool isCallerRetry;
        std::optional<QueueRejectionReason> rejection;
    };
    const Row rows[] = {
        { "short queue", 2, 2, 500ms, 2s, false, std::nullopt },
        { "misses its target, can come back", 20, 2, 500ms, 3s, false, QueueRejectionReason::MissesTarget },
        { "misses its target, too late to come back", 2, 2, 150ms, 340ms, false, std::nullopt },
        { "misses its target, has come back", 2, 2, 150ms, 2s, true, std::nullopt },
        { "misses its deadline", 20, 2, 500ms, 800ms, false, QueueRejectionReason::MissesDeadline },
        { "misses its deadline, has come back", 20, 2, 50ms, 800ms, true,
            QueueRejectionReason::MissesDeadline },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        WorkQueue queue;
        for (unsigned id = 1; id <= row.ahead; ++id) {
            addWaiting(queue, makeRequest(id, 0, 20s));
            queue.requests.back().isReturned = true;
        }
        WaitingRequest request { 1000, 0, now, now + row.toTarget, now + row.toDeadline, 100ms,
            row.isCallerRetry, false, 100 };
        addWaiting(queue, request);
        const std::vector<QueueRejection> rejections = takeHopeless(queue, row.places, now);
        REQUIRE(rejections.size() == (row.rejection ? 1 : 0));
        if (!row.rejection)
            continue;
        CHECK(rejections.front().id == 1000);
        CHECK(rejections.front().reason == *row.rejection);
        CHECK(rejections.front().retryAfter <= row.toDeadline / 3);
        CHECK(rejections.front().retryAfter >= 50ms);
    }
}

TEST_CASE("a request that others overtake is rejected when that is known", "[workqueue]")
{
    WorkQueue queue;
    addWaiting(queue, makeRequest(1, 1, 500ms));
    CHECK(takeHopeless(queue, 2, now).empty());
    for (std::uint64_t id = 2; id < 12; ++id)
        addWaiting(queue, makeRequest(id, 0, 3s));
    const std::vector<QueueRejection> rejections = takeHopeless(queue, 2, now);
    REQUIRE(rejections.size() == 1);
    CHECK(rejections.front().id == 1);
}

TEST_CASE("callers return at different times", "[workqueue]")
{
    WorkQueue queue;
    for (std::uint64_t id = 1; id <= 40; ++id)
        addWaiting(queue, makeRequest(id, 0, 500ms));
    std::set<Duration> delays;
    for (const QueueRejection& rejection : takeHopeless(queue, 1, now))
        delays.insert(rejection.retryAfter);
    CHECK(delays.size() > 20);
}

TEST_CASE("number and bytes of waiting requests are bounded", "[workqueue]")
{
    WorkQueue queue;
    queue.maxBytes = 1000;
    for (std::uint64_t id = 1; id <= 20; ++id)
        addWaiting(queue, makeRequest(id, 0, 10s));
    const std::vector<QueueRejection> rejections = takeHopeless(queue, 100, now);
    CHECK(queue.bytes == 1000);
    CHECK(queue.requests.size() == 10);
    REQUIRE(rejections.size() == 10);
    CHECK(rejections.front().reason == QueueRejectionReason::QueueFull);
    queue.maxBytes = 1 << 20;
    for (std::uint64_t id = 100; id < 600; ++id)
        addWaiting(queue, makeRequest(id, 0, 10s));
    takeHopeless(queue, 1000, now);
    CHECK(queue.requests.size() == 256);
}

TEST_CASE("slow responses lengthen the expected wait", "[workqueue]")
{
    WorkQueue queue;
    for (int response = 0; response < 30; ++response)
        recordCompletion(queue, 300ms, 100ms);
    CHECK(queue.latencyFactor > 2.9);
    addWaiting(queue, makeRequest(1, 0, 500ms));
    addWaiting(queue, makeRequest(2, 0, 500ms));
    CHECK(takeHopeless(queue, 1, now).size() == 2);
}
