#include "baseset.h"
#include "faultprinter.h"

#include <declarations/configurationreader.h>
#include <declarations/declarationsconstants.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace {

using Declarations::Document;
using Declarations::Fault;
using Declarations::FaultCode;
using Declarations::ObjectKind;
using Declarations::ReadResult;
using DeclarationsTest::baseSet;
using DeclarationsTest::baseSetWith;

/// One change to the base set and the only fault that it causes.
struct FaultRow {
    const char* name;
    const char* from;
    const char* to;
    FaultCode code;
    const char* file;
    const char* place;
    ObjectKind kind;
    const char* object;
};

const std::vector<FaultRow>& faultRows()
{
    static const std::vector<FaultRow> rows {
        { "text cut off",
            "\"stock-f\",\"service\":\"stock\",\"from\":\"f\",\"to\":null,\"pool\":\"stock-west\",\"shards\":"
            "8}\n]}",
            "", FaultCode::MalformedJson, "work.json", "", ObjectKind::None, "" },
        { "invalid UTF-8", "\"from\":\"f\"", "\"from\":\"\xff\"", FaultCode::MalformedJson, "work.json", "",
            ObjectKind::None, "" },
        { "deep nesting", "\"placement\":{\"load_weight\":1.5",
            "\"placement\":{\"load_weight\":[[[[[[[[1]]]]]]]]", FaultCode::NestingTooDeep, "work.json", "",
            ObjectKind::None, "" },
        { "unknown kind", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"Sevice\",\"name\":\"x\"},\n{\"kind\":\"Rank\"", FaultCode::UnknownKind,
            "work.json", "/objects/0/kind", ObjectKind::None, "" },
        { "upstream as an object of its own", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"Upstream\",\"name\":\"x\"},\n{\"kind\":\"Rank\"",
            FaultCode::UnknownKind, "work.json", "/objects/0/kind", ObjectKind::None, "" },
        { "object without kind", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{},\n{\"kind\":\"Rank\"", FaultCode::MissingField, "work.json", "/objects/0/kind",
            ObjectKind::None, "" },
        { "object that is none", "{\"objects\":[\n{\"kind\":\"Rank\"", "{\"objects\":[7,\n{\"kind\":\"Rank\"",
            FaultCode::WrongType, "work.json", "/objects/0", ObjectKind::None, "" },
        { "unknown field", "\"order\":0", "\"order\":0,\"odd/er~\":1", FaultCode::UnknownField, "work.json",
            "/objects/0/odd~1er~0", ObjectKind::Rank, "urgent" },
        { "unknown field of a part", "\"window_ms\":600000", "\"window_s\":600", FaultCode::UnknownField,
            "work.json", "/objects/2/idempotency/window_s", ObjectKind::Policy, "usual" },
        { "unknown field of an upstream", "\"slots\":4", "\"slot\":4", FaultCode::UnknownField, "places.json",
            "/objects/5/upstreams/1/slot", ObjectKind::Upstream, "sw-2" },
        { "unknown field of a document", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"version\":1,\"objects\":[\n{\"kind\":\"Rank\"", FaultCode::UnknownField, "work.json",
            "/version", ObjectKind::None, "" },
        { "duplicate field", "\"order\":0", "\"order\":0,\"order\":0", FaultCode::DuplicateField, "work.json",
            "/objects/0/order", ObjectKind::Rank, "urgent" },
        { "duplicate field of an upstream", "\"slots\":4", "\"slots\":4,\"slots\":4",
            FaultCode::DuplicateField, "places.json", "/objects/5/upstreams/1/slots", ObjectKind::Upstream,
            "sw-2" },
        { "missing field", "\"order\":0,", "", FaultCode::MissingField, "work.json", "/objects/0/order",
            ObjectKind::Rank, "urgent" },
        { "missing reference", "\"default_rank\":\"urgent\",", "", FaultCode::MissingField, "work.json",
            "/objects/3/default_rank", ObjectKind::Service, "stock" },
        { "name of the wrong type", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"Region\",\"name\":7},\n{\"kind\":\"Rank\"", FaultCode::WrongType,
            "work.json", "/objects/0/name", ObjectKind::Region, "" },
        { "text for a number", "\"order\":0", "\"order\":\"0\"", FaultCode::WrongType, "work.json",
            "/objects/0/order", ObjectKind::Rank, "urgent" },
        { "fraction for a whole number", "\"order\":0", "\"order\":0.5", FaultCode::WrongType, "work.json",
            "/objects/0/order", ObjectKind::Rank, "urgent" },
        { "number for a flag", "\"checks_grants\":false", "\"checks_grants\":0", FaultCode::WrongType,
            "places.json", "/objects/5/upstreams/1/checks_grants", ObjectKind::Upstream, "sw-2" },
        { "name for a list", "\"ranks\":[\"urgent\",\"bulk\"]", "\"ranks\":\"urgent\"", FaultCode::WrongType,
            "work.json", "/objects/3/ranks", ObjectKind::Service, "stock" },
        { "number in a list of names", "\"ranks\":[\"urgent\",\"bulk\"]", "\"ranks\":[\"urgent\",1]",
            FaultCode::WrongType, "work.json", "/objects/3/ranks", ObjectKind::Service, "stock" },
        { "list for a part", "\"idempotency\":{\"window_ms\":600000}", "\"idempotency\":[]",
            FaultCode::WrongType, "work.json", "/objects/2/idempotency", ObjectKind::Policy, "usual" },
        { "negative number", "\"order\":0", "\"order\":-1", FaultCode::OutOfRange, "work.json",
            "/objects/0/order", ObjectKind::Rank, "urgent" },
        { "share over 1", "\"floor_share\":0.125", "\"floor_share\":1.5", FaultCode::OutOfRange, "work.json",
            "/objects/1/floor_share", ObjectKind::Rank, "bulk" },
        { "negative share", "\"floor_share\":0.125", "\"floor_share\":-0.1", FaultCode::OutOfRange,
            "work.json", "/objects/1/floor_share", ObjectKind::Rank, "bulk" },
        { "port 0", "\"port\":7001", "\"port\":0", FaultCode::OutOfRange, "places.json",
            "/objects/6/upstreams/1/port", ObjectKind::Upstream, "se-2" },
        { "port too large", "\"port\":7001", "\"port\":65536", FaultCode::OutOfRange, "places.json",
            "/objects/6/upstreams/1/port", ObjectKind::Upstream, "se-2" },
        { "no slots", "\"slots\":4", "\"slots\":0", FaultCode::OutOfRange, "places.json",
            "/objects/5/upstreams/1/slots", ObjectKind::Upstream, "sw-2" },
        { "too many slots", "\"slots\":4", "\"slots\":1025", FaultCode::OutOfRange, "places.json",
            "/objects/5/upstreams/1/slots", ObjectKind::Upstream, "sw-2" },
        { "no connections", "\"connections\":100", "\"connections\":0", FaultCode::OutOfRange, "places.json",
            "/objects/5/upstreams/1/connections", ObjectKind::Upstream, "sw-2" },
        { "too many connections", "\"connections\":100", "\"connections\":65537", FaultCode::OutOfRange,
            "places.json", "/objects/5/upstreams/1/connections", ObjectKind::Upstream, "sw-2" },
        { "no shards", "\"pool\":\"stock-east\",\"shards\":8", "\"pool\":\"stock-east\",\"shards\":0",
            FaultCode::OutOfRange, "work.json", "/objects/5/shards", ObjectKind::KeyRange, "stock-e" },
        { "too many shards", "\"pool\":\"stock-east\",\"shards\":8",
            "\"pool\":\"stock-east\",\"shards\":4097", FaultCode::OutOfRange, "work.json",
            "/objects/5/shards", ObjectKind::KeyRange, "stock-e" },
        { "no attempts", "\"max_attempts\":3", "\"max_attempts\":0", FaultCode::OutOfRange, "work.json",
            "/objects/2/retry/max_attempts", ObjectKind::Policy, "usual" },
        { "lease of nothing", "\"lease_ms\":600", "\"lease_ms\":0", FaultCode::OutOfRange, "work.json",
            "/objects/2/lease/lease_ms", ObjectKind::Policy, "usual" },
        { "link without bits", "\"bits_per_second\":30000000", "\"bits_per_second\":0", FaultCode::OutOfRange,
            "places.json", "/objects/4/bits_per_second", ObjectKind::RegionLink, "east/west" },
        { "bad name", "\"name\":\"sw-2\"", "\"name\":\"Sw/2\"", FaultCode::BadName, "places.json",
            "/objects/5/upstreams/1/name", ObjectKind::Upstream, "Sw/2" },
        { "empty name", "\"name\":\"sw-2\"", "\"name\":\"\"", FaultCode::BadName, "places.json",
            "/objects/5/upstreams/1/name", ObjectKind::Upstream, "" },
        { "host name for an IP number", "127.0.0.2", "localhost", FaultCode::BadAddress, "places.json",
            "/objects/5/upstreams/1/address", ObjectKind::Upstream, "sw-2" },
        { "IP number of no machine", "127.0.0.2", "0.0.0.0", FaultCode::BadAddress, "places.json",
            "/objects/5/upstreams/1/address", ObjectKind::Upstream, "sw-2" },
        { "empty IP number", "127.0.0.2", "", FaultCode::BadAddress, "places.json",
            "/objects/5/upstreams/1/address", ObjectKind::Upstream, "sw-2" },
        { "duplicate name", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"Region\",\"name\":\"west\"},\n{\"kind\":\"Rank\"",
            FaultCode::DuplicateName, "work.json", "/objects/0/name", ObjectKind::Region, "west" },
        { "duplicate key range", "\"name\":\"stock-f\"", "\"name\":\"stock-e\"", FaultCode::DuplicateName,
            "work.json", "/objects/6/name", ObjectKind::KeyRange, "stock-e" },
        { "duplicate upstream in one pool", "\"name\":\"sw-2\"", "\"name\":\"sw-1\"",
            FaultCode::DuplicateName, "places.json", "/objects/5/upstreams/1/name", ObjectKind::Upstream,
            "sw-1" },
        { "duplicate upstream in two pools", "\"name\":\"se-1\"", "\"name\":\"sw-1\"",
            FaultCode::DuplicateName, "places.json", "/objects/6/upstreams/0/name", ObjectKind::Upstream,
            "sw-1" },
        { "second link of two regions", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"RegionLink\",\"first\":\"east\",\"second\":\"west\",\"bits_per_"
            "second\":1},\n{\"kind\":\"Rank\"",
            FaultCode::DuplicateName, "work.json", "/objects/0", ObjectKind::RegionLink, "east/west" },
        { "duplicate address and port", "\"port\":7001", "\"port\":7000", FaultCode::DuplicateAddress,
            "places.json", "/objects/6/upstreams/1/address", ObjectKind::Upstream, "se-2" },
        { "duplicate rank order", "\"order\":1", "\"order\":0", FaultCode::DuplicateRankOrder, "work.json",
            "/objects/0/order", ObjectKind::Rank, "urgent" },
        { "rank listed twice", "\"ranks\":[\"urgent\",\"bulk\"]", "\"ranks\":[\"urgent\",\"urgent\"]",
            FaultCode::DuplicateReference, "work.json", "/objects/3/ranks/1", ObjectKind::Service, "stock" },
        { "zone of an unknown region", "\"name\":\"east-1\",\"region\":\"east\"",
            "\"name\":\"east-1\",\"region\":\"south\"", FaultCode::UnknownRegion, "places.json",
            "/objects/3/region", ObjectKind::AvailabilityZone, "east-1" },
        { "link to an unknown region", "\"second\":\"east\"", "\"second\":\"south\"",
            FaultCode::UnknownRegion, "places.json", "/objects/4", ObjectKind::RegionLink, "south/west" },
        { "pool in an unknown region", "\"name\":\"stock-east\",\"region\":\"east\"",
            "\"name\":\"stock-east\",\"region\":\"south\"", FaultCode::UnknownRegion, "places.json",
            "/objects/6/region", ObjectKind::UpstreamPool, "stock-east" },
        { "upstream in an unknown zone", "\"name\":\"sw-2\",\"zone\":\"west-1\"",
            "\"name\":\"sw-2\",\"zone\":\"west-9\"", FaultCode::UnknownZone, "places.json",
            "/objects/5/upstreams/1/zone", ObjectKind::Upstream, "sw-2" },
        { "service with an unknown rank", "\"ranks\":[\"urgent\",\"bulk\"]",
            "\"ranks\":[\"urgent\",\"idle\"]", FaultCode::UnknownRank, "work.json", "/objects/3/ranks/1",
            ObjectKind::Service, "stock" },
        { "link share of an unknown rank", "\"bulk\":0.25", "\"idle\":0.25", FaultCode::UnknownRank,
            "places.json", "/objects/4/rank_shares/idle", ObjectKind::RegionLink, "east/west" },
        { "unknown policy", "\"policy\":\"usual\"", "\"policy\":\"unusual\"", FaultCode::UnknownPolicy,
            "work.json", "/objects/3/policy", ObjectKind::Service, "stock" },
        { "unknown pool", "\"pool\":\"stock-east\"", "\"pool\":\"stock-south\"", FaultCode::UnknownPool,
            "work.json", "/objects/5/pool", ObjectKind::KeyRange, "stock-e" },
        { "unknown service", "\"name\":\"stock-e\",\"service\":\"stock\"",
            "\"name\":\"stock-e\",\"service\":\"stocks\"", FaultCode::UnknownService, "work.json",
            "/objects/5/service", ObjectKind::KeyRange, "stock-e" },
        { "link of a region to itself", "\"second\":\"east\"", "\"second\":\"west\"", FaultCode::LinkToSelf,
            "places.json", "/objects/4", ObjectKind::RegionLink, "west/west" },
        { "link shares over 1", "\"bulk\":0.25", "\"bulk\":0.500001", FaultCode::LinkSharesOverOne,
            "places.json", "/objects/4/rank_shares", ObjectKind::RegionLink, "east/west" },
        { "floors over 1", "\"floor_share\":0.125", "\"floor_share\":0.500001", FaultCode::FloorsOverOne,
            "work.json", "/objects/0/floor_share", ObjectKind::Rank, "urgent" },
        { "time limit below the target", "\"default_timeout_ms\":1000", "\"default_timeout_ms\":49",
            FaultCode::TimeoutBelowTarget, "work.json", "/objects/0/default_timeout_ms", ObjectKind::Rank,
            "urgent" },
        { "renewal as slow as the proof window", "\"renew_every_ms\":150", "\"renew_every_ms\":400",
            FaultCode::LeasePolicyOrder, "work.json", "/objects/2/lease/renew_every_ms", ObjectKind::Policy,
            "usual" },
        { "proof window as long as the lease", "\"proof_window_ms\":400", "\"proof_window_ms\":600",
            FaultCode::LeasePolicyOrder, "work.json", "/objects/2/lease/proof_window_ms", ObjectKind::Policy,
            "usual" },
        { "suspicion as early as a renewal", "\"suspect_after_ms\":450", "\"suspect_after_ms\":150",
            FaultCode::LeasePolicyOrder, "work.json", "/objects/2/lease/suspect_after_ms", ObjectKind::Policy,
            "usual" },
        { "failover over 2 s", "\"suspect_after_ms\":450", "\"suspect_after_ms\":991",
            FaultCode::FailoverTooSlow, "work.json", "/objects/2/lease", ObjectKind::Policy, "usual" },
        { "backoff out of order", "\"max_backoff_ms\":500", "\"max_backoff_ms\":19", FaultCode::BackoffOrder,
            "work.json", "/objects/2/retry/max_backoff_ms", ObjectKind::Policy, "usual" },
        { "zone of another region", "\"name\":\"sw-2\",\"zone\":\"west-1\"",
            "\"name\":\"sw-2\",\"zone\":\"east-1\"", FaultCode::ZoneOutsideRegion, "places.json",
            "/objects/5/upstreams/1/zone", ObjectKind::Upstream, "sw-2" },
        { "fewer connections than slots", "\"connections\":100", "\"connections\":3",
            FaultCode::FewerConnectionsThanSlots, "places.json", "/objects/5/upstreams/1/connections",
            ObjectKind::Upstream, "sw-2" },
        { "pool without upstreams", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"UpstreamPool\",\"name\":\"p\",\"region\":\"west\",\"upstreams\":[]},"
            "\n{\"kind\":\"Rank\"",
            FaultCode::PoolWithoutUpstreams, "work.json", "/objects/0/upstreams", ObjectKind::UpstreamPool,
            "p" },
        { "pool whose upstreams all leave", "\"port\":7001", "\"port\":7001,\"leaving\":true",
            FaultCode::PoolAllLeaving, "places.json", "/objects/6/upstreams", ObjectKind::UpstreamPool,
            "stock-east" },
        { "service without ranks", "\"ranks\":[\"urgent\",\"bulk\"]", "\"ranks\":[]",
            FaultCode::ServiceWithoutRanks, "work.json", "/objects/3/ranks", ObjectKind::Service, "stock" },
        { "default rank not among the ranks", "\"ranks\":[\"urgent\",\"bulk\"]", "\"ranks\":[\"bulk\"]",
            FaultCode::DefaultRankNotAllowed, "work.json", "/objects/3/default_rank", ObjectKind::Service,
            "stock" },
        { "key range that ends where it begins", "\"from\":\"e\",\"to\":\"f\"", "\"from\":\"f\",\"to\":\"f\"",
            FaultCode::KeyRangeEmpty, "work.json", "/objects/5/to", ObjectKind::KeyRange, "stock-e" },
        { "overlapping key ranges", "\"from\":\"e\",\"to\":\"f\"", "\"from\":\"e\",\"to\":\"fa\"",
            FaultCode::KeyRangesOverlap, "work.json", "/objects/6/from", ObjectKind::KeyRange, "stock-f" },
        { "range after an endless one", "\"from\":\"e\",\"to\":\"f\"", "\"from\":\"e\",\"to\":null",
            FaultCode::KeyRangesOverlap, "work.json", "/objects/6/from", ObjectKind::KeyRange, "stock-f" },
        { "gap before the first key range", "\"from\":\"\"", "\"from\":\"a\"", FaultCode::KeyRangesGap,
            "work.json", "/objects/4/from", ObjectKind::KeyRange, "stock-a" },
        { "gap between key ranges", "\"from\":\"f\"", "\"from\":\"g\"", FaultCode::KeyRangesGap, "work.json",
            "/objects/6/from", ObjectKind::KeyRange, "stock-f" },
        { "gap after the last key range", "\"to\":null", "\"to\":\"z\"", FaultCode::KeyRangesGap, "work.json",
            "/objects/6/to", ObjectKind::KeyRange, "stock-f" },
        { "service without key ranges", "{\"objects\":[\n{\"kind\":\"Rank\"",
            "{\"objects\":[{\"kind\":\"Service\",\"name\":\"dues\",\"ranks\":[\"bulk\"],\"default_rank\":"
            "\"bulk\",\"policy\":\"usual\"},\n{\"kind\":\"Rank\"",
            FaultCode::KeyRangesGap, "work.json", "/objects/0", ObjectKind::Service, "dues" },
    };
    return rows;
}

} // namespace

TEST_CASE("each fault is reported once, with its place", "[configurationreader]")
{
    for (const FaultRow& row : faultRows()) {
        INFO(row.name);
        const ReadResult result = Declarations::readConfiguration(baseSetWith(row.from, row.to));
        REQUIRE_FALSE(result.configuration.has_value());
        REQUIRE_FALSE(result.faults.empty());
        const Fault& fault = result.faults.front();
        INFO(fault);
        CHECK(fault.code == row.code);
        CHECK(fault.file == row.file);
        CHECK(fault.place == row.place);
        CHECK(fault.kind == row.kind);
        CHECK(fault.object == row.object);
        CHECK_FALSE(fault.detail.empty());
        CHECK(result.faults.size() == 1);
    }
}

TEST_CASE("a valid set is read, with defaults for absent fields", "[configurationreader]")
{
    const ReadResult result = Declarations::readConfiguration(baseSet());
    REQUIRE(result.faults.empty());
    REQUIRE(result.configuration.has_value());
    const Declarations::Configuration& configuration = *result.configuration;
    CHECK(configuration.regions.size() == 2);
    CHECK(configuration.links.at(0).first.value == "east");
    const Declarations::UpstreamPool& pool = configuration.pools.at(Utils::PoolId { "stock-west" });
    const Declarations::Upstream& plain = pool.upstreams.at(Utils::UpstreamId { "sw-1" });
    CHECK(plain.slots == 2);
    CHECK(plain.connections == 120);
    CHECK(plain.checksGrants);
    CHECK_FALSE(plain.leaving);
    const Declarations::Upstream& full = pool.upstreams.at(Utils::UpstreamId { "sw-2" });
    CHECK(full.slots == 4);
    CHECK_FALSE(full.checksGrants);
    const Declarations::Policy& policy = configuration.policies.at(Utils::PolicyId { "usual" });
    CHECK(policy.idempotency.window == std::chrono::minutes(10));
    CHECK(policy.placement.loadWeight == 1.5);
    CHECK_FALSE(configuration.keyRanges.at(Utils::KeyRangeId { "stock-f" }).to.has_value());
}

TEST_CASE("all faults of all documents are reported at once", "[configurationreader]")
{
    std::vector<Document> documents = baseSetWith("\"order\":0", "\"order\":\"0\"");
    documents.push_back({ "cut.json", "{\"objects\":[" });
    documents.push_back({ "list.json", "[]" });
    documents.push_back({ "none.json", "{}" });
    documents.push_back({ "large.json", std::string(Declarations::maxDocumentBytes + 1, ' ') });
    const ReadResult result = Declarations::readConfiguration(documents);
    const std::vector<FaultCode> expected { FaultCode::WrongType, FaultCode::MalformedJson,
        FaultCode::WrongType, FaultCode::MissingField, FaultCode::DocumentTooLarge };
    std::vector<FaultCode> found;
    found.reserve(result.faults.size());
    for (const Fault& fault : result.faults)
        found.push_back(fault.code);
    CHECK(found == expected);
}

TEST_CASE("an empty set has no service", "[configurationreader]")
{
    const ReadResult result = Declarations::readConfiguration({});
    REQUIRE(result.faults.size() == 1);
    CHECK(result.faults[0].code == FaultCode::NoServices);
}

TEST_CASE("a set that would not fit into the log is refused", "[configurationreader]")
{
    std::vector<Document> documents = baseSet();
    for (int file = 0; file < 2; file += 1) {
        std::string text = "{\"objects\":[";
        for (int i = 0; i < 10000; i += 1) {
            const std::string name
                = "r-" + std::to_string(file) + '-' + std::to_string(i) + std::string(32, 'x');
            text += (i == 0 ? "" : ",") + ("{\"kind\":\"Region\",\"name\":\"" + name + "\"}");
        }
        documents.push_back({ "regions.json", text + "]}" });
    }
    const ReadResult result = Declarations::readConfiguration(documents);
    REQUIRE(result.faults.size() == 1);
    CHECK(result.faults[0].code == FaultCode::ConfigurationTooLarge);
}
