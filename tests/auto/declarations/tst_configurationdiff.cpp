#include "baseset.h"
#include "faultprinter.h"

#include <declarations/configurationdiff.h>
#include <declarations/configurationreader.h>

#include <catch2/catch.hpp>

#include <vector>

using Declarations::Change;
using Declarations::ChangeKind;
using Declarations::ObjectKind;
using DeclarationsTest::baseSet;
using DeclarationsTest::baseSetWith;

namespace {

/// A change to the text of the base set and the differences that it makes.
struct DiffRow {
    const char* name;
    const char* from;
    const char* to;
    std::vector<Change> changes;
};

const std::vector<DiffRow>& diffRows()
{
    static const std::vector<DiffRow> rows {
        { "nothing", "\"order\":0", "\"order\":0", {} },
        { "a default written out", "\"slots\":4", "\"slots\":4,\"leaving\":false", {} },
        { "a field", "\"order\":0", "\"order\":7",
            { { ChangeKind::Changed, ObjectKind::Rank, "urgent", "/order", "0", "7" } } },
        { "a field of a part", "\"lease_ms\":600", "\"lease_ms\":700",
            { { ChangeKind::Changed, ObjectKind::Policy, "usual", "/lease/lease_ms", "600", "700" } } },
        { "a field of an upstream", "\"slots\":4", "\"slots\":3",
            { { ChangeKind::Changed, ObjectKind::Upstream, "sw-2", "/slots", "4", "3" } } },
        { "a list", "[\"urgent\",\"bulk\"]", "[\"urgent\"]",
            { { ChangeKind::Changed, ObjectKind::Service, "stock", "/ranks", "[\"urgent\",\"bulk\"]",
                "[\"urgent\"]" } } },
        { "a share of a link that goes", ",\"bulk\":0.25", "",
            { { ChangeKind::Changed, ObjectKind::RegionLink, "east/west", "/rank_shares/bulk", "2.5E-1",
                "" } } },
        { "an object that comes", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"Region\",\"name\":\"south\"},\n{\"kind\":\"Rank\"",
            { { ChangeKind::Added, ObjectKind::Region, "south", "", "",
                "{\"kind\":\"Region\",\"name\":\"south\"}" } } },
    };
    return rows;
}

} // namespace

TEST_CASE("differences are named by object and field", "[configurationdiff]")
{
    const Declarations::Configuration before = *Declarations::readConfiguration(baseSet()).configuration;
    for (const DiffRow& row : diffRows()) {
        INFO(row.name);
        const Declarations::ReadResult after = Declarations::readConfiguration(baseSetWith(row.from, row.to));
        REQUIRE(after.configuration.has_value());
        CHECK(Declarations::diffConfigurations(before, *after.configuration) == row.changes);
    }
}

TEST_CASE("an upstream that changes pool is one changed field", "[configurationdiff]")
{
    const Declarations::Configuration before = *Declarations::readConfiguration(baseSet()).configuration;
    Declarations::Configuration after = before;
    const Utils::UpstreamId moved { "sw-2" };
    after.pools[Utils::PoolId { "stock-east" }].upstreams[moved]
        = after.pools[Utils::PoolId { "stock-west" }].upstreams[moved];
    after.pools[Utils::PoolId { "stock-west" }].upstreams.erase(moved);
    const std::vector<Change> expected {
        { ChangeKind::Changed, ObjectKind::Upstream, "sw-2", "/pool", "\"stock-west\"", "\"stock-east\"" },
    };
    CHECK(Declarations::diffConfigurations(before, after) == expected);
}

TEST_CASE("what comes one way goes the other way", "[configurationdiff]")
{
    const Declarations::Configuration full = *Declarations::readConfiguration(baseSet()).configuration;
    const std::vector<Change> added = Declarations::diffConfigurations({}, full);
    const std::vector<Change> removed = Declarations::diffConfigurations(full, {});
    REQUIRE(added.size() == 18);
    REQUIRE(removed.size() == added.size());
    for (std::size_t i = 0; i < added.size(); i += 1) {
        CHECK(added[i].change == ChangeKind::Added);
        CHECK(removed[i].change == ChangeKind::Removed);
        CHECK(added[i].object == removed[i].object);
        CHECK(added[i].newValue == removed[i].oldValue);
    }
}
