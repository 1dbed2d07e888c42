#include <routing/upstreamdirectory.h>

#include <catch2/catch.hpp>

using namespace Routing;
using namespace std::chrono_literals;

namespace {

const Utils::Instant start { 1000s };
const Utils::UpstreamId id { "u1" };

UpstreamRecord report(std::uint64_t born, std::uint64_t sequence, bool draining = false)
{
    UpstreamRecord record;
    record.id = id;
    record.service = { "s" };
    record.endpoint = { "10.0.0.1", 80 };
    record.draining = draining;
    record.startTimeMs = born;
    record.sequence = sequence;
    return record;
}

struct Row {
    const char* name;
    UpstreamRecord next;
    Utils::Offset offset;
    DirectoryChange change;
    bool usable;
};

} // namespace

TEST_CASE("A report counts by its start and its sequence, not by when it is read", "[upstreamdirectory]")
{
    const Row row = GENERATE(values<Row>({
        { "next report", report(5, 8), 11, DirectoryChange::None, true },
        { "draining", report(5, 8, true), 11, DirectoryChange::StartedDraining, false },
        { "old report that says draining", report(5, 6, true), 11, DirectoryChange::None, true },
        { "the same again", report(5, 7, true), 11, DirectoryChange::None, true },
        { "an earlier start", report(4, 99, true), 11, DirectoryChange::None, true },
        { "a later start with a low sequence", report(6, 1), 11, DirectoryChange::Restarted, true },
        { "read before what is known", report(5, 8, true), 9, DirectoryChange::None, true },
    }));
    INFO(row.name);
    UpstreamDirectory directory;
    REQUIRE(applyReport(directory, report(5, 7), 10, start) == DirectoryChange::Added);
    CHECK(applyReport(directory, row.next, row.offset, start) == row.change);
    CHECK((findUsable(directory, id) != nullptr) == row.usable);
}

TEST_CASE("A missing entry is gone at once, but for the grace after a disturbance of the store",
    "[upstreamdirectory]")
{
    struct Case {
        const char* name;
        bool disturbed;
        bool drained;
        Utils::Duration later;
        bool usable;
    };
    const Case row = GENERATE(values<Case>({
        { "calm store", false, false, 0ms, false },
        { "disturbed store", true, false, 0ms, true },
        { "just before the grace ends", true, false, storeOutageGracePeriod - 1ms, true },
        { "the grace has ended", true, false, storeOutageGracePeriod, false },
        { "disturbed, but it had announced to leave", true, true, 0ms, false },
    }));
    INFO(row.name);
    UpstreamDirectory directory;
    applyReport(directory, report(5, 7, row.drained), 10, start);
    if (row.disturbed)
        recordStoreOutage(directory, start);
    applyRemoval(directory, id, 11, start);
    expireMissing(directory, start + row.later);
    CHECK((findUsable(directory, id) != nullptr) == row.usable);
}

TEST_CASE(
    "An entry that comes back is used again, a late report of one that left is not", "[upstreamdirectory]")
{
    UpstreamDirectory directory;
    applyReport(directory, report(5, 7), 10, start);
    REQUIRE(applyRemoval(directory, id, 11, start) == DirectoryChange::Removed);
    CHECK(applyReport(directory, report(5, 6), 12, start) == DirectoryChange::None);
    CHECK(findUsable(directory, id) == nullptr);
    CHECK(applyReport(directory, report(5, 8), 13, start) == DirectoryChange::Added);
    CHECK(findUsable(directory, id) != nullptr);
}

TEST_CASE("A removal read from a stale snapshot changes nothing", "[upstreamdirectory]")
{
    UpstreamDirectory directory;
    applyReport(directory, report(5, 7), 10, start);
    CHECK(applyRemoval(directory, id, 9, start) == DirectoryChange::None);
    CHECK(findUsable(directory, id) != nullptr);
}

TEST_CASE("Those long gone are forgotten", "[upstreamdirectory]")
{
    UpstreamDirectory directory;
    applyReport(directory, report(5, 7), 10, start);
    applyRemoval(directory, id, 11, start);
    expireMissing(directory, start + expiredEntryRetention);
    CHECK(directory.entries.size() == 1);
    expireMissing(directory, start + expiredEntryRetention + 1ms);
    CHECK(directory.entries.empty());
}
