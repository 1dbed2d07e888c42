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
    noteRead(leadership, 4, std::nullopt, start);
    noteAppendSent(leadership, start);
    noteAppended(leadership, 4);
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
    const Utils::Duration bound = leaseTime + leaseTime / 50 + expiryMargin;
    const Row row = GENERATE_COPY(values<Row>({
        { "nobody has led", std::nullopt, 0ms, true },
        { "another leads", otherLeader(), 0ms, false },
        { "another's lease has just ended by its clock", otherLeader(), leaseTime, false },
        { "just before drift and margin are over", otherLeader(), bound - 1ms, false },
        { "drift and margin are over", otherLeader(), bound, true },
        { "it has resigned", LeaderRecord {}, 0ms, true },
        { "an earlier process of this VM", LeaderRecord { { "a" }, 7, { "10.0.0.1", 7000 } }, 0ms, true },
        { "the same name at another address", LeaderRecord { { "a" }, 7, { "10.0.0.9", 7000 } }, 0ms, false },
    }));
    INFO(row.name);
    Leadership leadership = standby();
    noteRead(leadership, 4, row.last, start);
    CHECK(isAppendDue(leadership, 0, start + row.later) == row.due);
}

TEST_CASE("A lease counts from the time of sending, and lapses by itself", "[leadership]")
{
    const Leadership leadership = leading();
    CHECK(leadership.term == 4);
    CHECK(mayLead(leadership, start + leaseTime - 1ms));
    CHECK_FALSE(mayLead(leadership, start + leaseTime));
}

TEST_CASE("Another's record ends a term at once", "[leadership]")
{
    Leadership leadership = leading();
    noteRead(leadership, 6, otherLeader(), start + 100ms);
    CHECK_FALSE(mayLead(leadership, start + 100ms));
}

TEST_CASE("An append without an answer counts once the log shows it, from its sending", "[leadership]")
{
    Leadership leadership = leading();
    noteAppendSent(leadership, start + 1s);
    noteAppendUnknown(leadership);
    CHECK_FALSE(mayLead(leadership, start + leaseTime + 500ms));
    noteRead(leadership, 6, leadership.self, start + 2s);
    CHECK(mayLead(leadership, start + 1s + leaseTime - 1ms));
    CHECK_FALSE(mayLead(leadership, start + 1s + leaseTime));
    CHECK(leadership.term == 4);
}

TEST_CASE("A claim without an answer that took effect makes a leader", "[leadership]")
{
    Leadership leadership = standby();
    noteRead(leadership, 4, std::nullopt, start);
    noteAppendSent(leadership, start);
    noteAppendUnknown(leadership);
    CHECK_FALSE(mayLead(leadership, start));
    noteRead(leadership, 5, leadership.self, start + 800ms);
    CHECK(leadership.term == 4);
    CHECK(mayLead(leadership, start + 800ms));
}

TEST_CASE("A refused renewal does not lengthen the lease", "[leadership]")
{
    Leadership leadership = leading();
    noteAppendSent(leadership, start + 1s);
    noteAppendRefused(leadership);
    CHECK_FALSE(mayLead(leadership, start + leaseTime));
    CHECK(isAppendDue(leadership, 0, start + 1s + leaseRenewal));
}

TEST_CASE("A store that leaves renewals unanswered is doubted while the lease still runs", "[leadership]")
{
    Leadership leadership = leading();
    const Utils::Instant doubted = start + leaseRenewal + storeDoubt + 1ms;
    CHECK_FALSE(isStoreDoubtful(leadership, doubted - 2ms));
    CHECK(isStoreDoubtful(leadership, doubted));
    CHECK(mayLead(leadership, doubted));
}

TEST_CASE("A read from before what is known changes nothing", "[leadership]")
{
    Leadership leadership = leading();
    noteRead(leadership, 5, otherLeader(), start + 100ms);
    CHECK(mayLead(leadership, start + 100ms));
}
