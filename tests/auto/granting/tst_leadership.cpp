#include <granting/grantingconstants.h>
#include <granting/leadership.h>

#include <catch2/catch.hpp>

using namespace Granting;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };

Leadership standby()
{
    Leadership leadership;
    leadership.self = { { "a" }, 1, { "10.0.0.1", 7000 } };
    return leadership;
}

LeaderRecord otherLeader() { return { { "b" }, 9, { "10.0.0.2", 7000 } }; }

Leadership leading()
{
    Leadership leadership = standby();
    recordLogRead(leadership, 4, std::nullopt, start);
    recordAppendSent(leadership, start);
    recordAppendSucceeded(leadership, 4);
    return leadership;
}

} // namespace

TEST_CASE("Nothing is claimed before the log has been read", "[leadership]")
{
    CHECK_FALSE(isAppendDue(standby(), 0, start));
}

TEST_CASE("A lease is claimed only when the former leader can't act any more", "[leadership]")
{
    struct Row {
        const char* name;
        std::optional<LeaderRecord> last;
        Utils::Duration later;
        bool due;
    };
    const Utils::Duration bound = leaderLeaseDuration + leaderLeaseDuration / 50 + expiryMargin;
    const Row row = GENERATE_COPY(values<Row>({
        { "nobody has led", std::nullopt, 0ms, true },
        { "another leads", otherLeader(), 0ms, false },
        { "another's lease has just ended by its clock", otherLeader(), leaderLeaseDuration, false },
        { "just before drift and margin are over", otherLeader(), bound - 1ms, false },
        { "drift and margin are over", otherLeader(), bound, true },
        { "it has resigned", LeaderRecord {}, 0ms, true },
        { "an earlier process of this VM", LeaderRecord { { "a" }, 7, { "10.0.0.1", 7000 } }, 0ms, true },
        { "the same name at another address", LeaderRecord { { "a" }, 7, { "10.0.0.9", 7000 } }, 0ms, false },
    }));
    INFO(row.name);
    Leadership leadership = standby();
    recordLogRead(leadership, 4, row.last, start);
    CHECK(isAppendDue(leadership, 0, start + row.later) == row.due);
}

TEST_CASE("A lease counts from the time of sending, and lapses by itself", "[leadership]")
{
    const Leadership leadership = leading();
    CHECK(leadership.term == 4);
    CHECK(holdsLeaderLease(leadership, start + leaderLeaseDuration - 1ms));
    CHECK_FALSE(holdsLeaderLease(leadership, start + leaderLeaseDuration));
}

TEST_CASE("Another's record ends a term at once", "[leadership]")
{
    Leadership leadership = leading();
    recordLogRead(leadership, 6, otherLeader(), start + 100ms);
    CHECK_FALSE(holdsLeaderLease(leadership, start + 100ms));
}

TEST_CASE("An append without an answer counts once the log shows it, from its sending", "[leadership]")
{
    Leadership leadership = leading();
    recordAppendSent(leadership, start + 1s);
    recordAppendOutcomeUnknown(leadership);
    CHECK_FALSE(holdsLeaderLease(leadership, start + leaderLeaseDuration + 500ms));
    recordLogRead(leadership, 6, leadership.self, start + 2s);
    CHECK(holdsLeaderLease(leadership, start + 1s + leaderLeaseDuration - 1ms));
    CHECK_FALSE(holdsLeaderLease(leadership, start + 1s + leaderLeaseDuration));
    CHECK(leadership.term == 4);
}

TEST_CASE("A claim without an answer that took effect makes a leader", "[leadership]")
{
    Leadership leadership = standby();
    recordLogRead(leadership, 4, std::nullopt, start);
    recordAppendSent(leadership, start);
    recordAppendOutcomeUnknown(leadership);
    CHECK_FALSE(holdsLeaderLease(leadership, start));
    recordLogRead(leadership, 5, leadership.self, start + 800ms);
    CHECK(leadership.term == 4);
    CHECK(holdsLeaderLease(leadership, start + 800ms));
}

TEST_CASE("A refused renewal does not lengthen the lease", "[leadership]")
{
    Leadership leadership = leading();
    recordAppendSent(leadership, start + 1s);
    recordAppendRejected(leadership);
    CHECK_FALSE(holdsLeaderLease(leadership, start + leaderLeaseDuration));
    CHECK(isAppendDue(leadership, 0, start + 1s + leaderLeaseRenewalInterval));
}

TEST_CASE("A store that leaves renewals unanswered is doubted while the lease still runs", "[leadership]")
{
    Leadership leadership = leading();
    const Utils::Instant doubted = start + leaderLeaseRenewalInterval + storeResponseTimeout + 1ms;
    CHECK_FALSE(isStoreUnresponsive(leadership, doubted - 2ms));
    CHECK(isStoreUnresponsive(leadership, doubted));
    CHECK(holdsLeaderLease(leadership, doubted));
}

TEST_CASE("A read from before what is known changes nothing", "[leadership]")
{
    Leadership leadership = leading();
    recordLogRead(leadership, 5, otherLeader(), start + 100ms);
    CHECK(holdsLeaderLease(leadership, start + 100ms));
}
