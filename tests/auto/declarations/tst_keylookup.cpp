#include "baseset.h"
#include "generators.h"

#include <declarations/configurationreader.h>
#include <declarations/keylookup.h>
#include <declarations/keyrangeindex.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>
#include <string>

using Declarations::Configuration;
using Declarations::KeyRange;

namespace {

/// A key of the base set and the range it belongs to; empty for none.
struct LookupRow {
    const char* service;
    std::string key;
    const char* range;
};

const LookupRow lookupRows[] = {
    { "stock", "", "stock-a" },
    { "stock", "dz", "stock-a" },
    { "stock", "d\xff", "stock-a" },
    { "stock", "e", "stock-e" },
    { "stock", "e\xff", "stock-e" },
    { "stock", "f", "stock-f" },
    { "stock", "\xff\xff", "stock-f" },
    { "stock", std::string("e\0", 2), "stock-e" },
    { "dues", "e", "" },
};

} // namespace

TEST_CASE("a key belongs to the range around it, in byte order", "[keylookup]")
{
    const Configuration configuration
        = *Declarations::readConfiguration(DeclarationsTest::baseSet()).configuration;
    for (const LookupRow& row : lookupRows) {
        INFO(row.service << ' ' << row.key);
        const KeyRange* range
            = Declarations::findKeyRange(configuration, Utils::ServiceId { row.service }, row.key);
        const std::string found = range ? range->id.value : "";
        CHECK(found == row.range);
        const KeyRange* indexed = Declarations::findKeyRange(
            Declarations::indexKeyRanges(configuration), Utils::ServiceId { row.service }, row.key);
        CHECK((indexed != nullptr) == (range != nullptr));
    }
}

TEST_CASE("every key of every service belongs to exactly one range", "[keylookup]")
{
    const bool holds = rc::check([](const std::string& key) {
        const Configuration configuration
            = DeclarationsTest::randomConfiguration(DeclarationsTest::anySeed());
        for (const std::pair<const Utils::ServiceId, Declarations::Service>& service :
            configuration.services) {
            const KeyRange* range = Declarations::findKeyRange(configuration, service.first, key);
            RC_ASSERT(range != nullptr);
            const Declarations::KeyRangeIndex index = Declarations::indexKeyRanges(configuration);
            const KeyRange* indexed = Declarations::findKeyRange(index, service.first, key);
            RC_ASSERT(indexed != nullptr);
            RC_ASSERT(*indexed == *range);
            Configuration rest = configuration;
            rest.keyRanges.erase(range->id);
            RC_ASSERT(Declarations::findKeyRange(rest, service.first, key) == nullptr);
        }
    });
    CHECK(holds);
}

TEST_CASE("the shard of a key is stable and even", "[keylookup]")
{
    KeyRange range;
    range.id.value = "stock-a";
    range.shards = 8;
    // The published test values of XXH64 modulo 8. They may never change: a VM of another version would ask
    // another owner.
    CHECK(Declarations::shardOf(range, "").value == "stock-a/1");
    CHECK(Declarations::shardOf(range, "a").value == "stock-a/3");
    CHECK(Declarations::shardOf(range, "abc").value == "stock-a/1");
    CHECK(Declarations::shardId(range, 7).value == "stock-a/7");
    std::multiset<Utils::ShardId> shards;
    for (int i = 0; i < 8000; i += 1)
        shards.insert(Declarations::shardOf(range, "key-" + std::to_string(i)));
    for (unsigned number = 0; number < range.shards; number += 1) {
        const std::size_t keys = shards.count(Declarations::shardId(range, number));
        CHECK(keys > 850);
        CHECK(keys < 1150);
    }
}
