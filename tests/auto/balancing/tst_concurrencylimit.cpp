#include <balancing/concurrencylimit.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;
using Utils::Instant;

namespace {

constexpr Instant now { 100s };
constexpr unsigned slots = 4;

ConcurrencyLimit makeLimit(double requests, unsigned inUse)
{
    ConcurrencyLimit limit;
    updateEvenShare(limit, 60, 20);
    limit.requests = requests;
    limit.inUse = inUse;
    return limit;
}

} // namespace

TEST_CASE("the limit follows reported queues", "[concurrencylimit]")
{
    struct Row {
        const char* name;
        Routing::ReportedLoad load;
        unsigned reports;
        unsigned before;
        unsigned inUse;
        unsigned after;
    };
    const Row rows[] = {
        { "free slots", { 2, 0, slots }, 3, 6, 6, 9 },
        { "all slots busy, nothing waits", { slots, 0, slots }, 4, 6, 6, 7 },
        { "a queue of half a round", { slots, 2, slots }, 10, 6, 6, 6 },
        { "a queue of two rounds", { slots, 8, slots }, 5, 9, 9, 4 },
        { "a long queue for a long time", { slots, 16, slots }, 50, 9, 9, 3 },
        { "free slots without use", { 0, 0, slots }, 50, 6, 0, 6 },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        ConcurrencyLimit limit = makeLimit(row.before, row.inUse);
        for (unsigned report = 0; report < row.reports; ++report)
            recordReport(limit, row.load);
        CHECK(maxRequests(limit, std::nullopt, now) == row.after);
    }
}

TEST_CASE("rejections shrink the limit to no less than one", "[concurrencylimit]")
{
    ConcurrencyLimit limit;
    updateEvenShare(limit, 20, 60);
    limit.requests = 6;
    recordLackOfRoom(limit);
    CHECK(maxRequests(limit, std::nullopt, now) == 4);
    for (unsigned rejection = 0; rejection < 20; ++rejection)
        recordLackOfRoom(limit);
    CHECK(maxRequests(limit, std::nullopt, now) == 1);
}

TEST_CASE("a fresh share bounds the limit", "[concurrencylimit]")
{
    const ConcurrencyLimit limit = makeLimit(8, 3);
    CHECK(maxRequests(limit, RoomShare { 5, now - 1s }, now) == 5);
    CHECK(maxRequests(limit, RoomShare { 0.2, now - 1s }, now) == 1);
    CHECK(maxRequests(limit, RoomShare { 20, now - 1s }, now) == 8);
    CHECK(maxRequests(limit, RoomShare { 5, now - maxRoomShareAge - 1ms }, now) == 8);
}

TEST_CASE("a limit starts with the even share", "[concurrencylimit]")
{
    ConcurrencyLimit limit;
    updateEvenShare(limit, 164, 41);
    CHECK(maxRequests(limit, std::nullopt, now) == 4);
}
