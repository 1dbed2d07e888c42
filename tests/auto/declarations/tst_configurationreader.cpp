#include "baseset.h"
#include "faultprinter.h"
#include "faultrows.h"

#include <declarations/configurationreader.h>
#include <declarations/declarationsconstants.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using Declarations::Document;
using Declarations::Fault;
using Declarations::FaultCode;
using Declarations::ReadResult;
using DeclarationsTest::baseSet;
using DeclarationsTest::baseSetWith;
using DeclarationsTest::FaultRow;
using DeclarationsTest::faultRows;

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

TEST_CASE("every fault code has a row or a test of its own", "[configurationreader]")
{
    std::set<FaultCode> covered { FaultCode::DocumentTooLarge, FaultCode::NoServices,
        FaultCode::ConfigurationTooLarge, FaultCode::KeyRangeReshaped };
    for (const FaultRow& row : faultRows())
        covered.insert(row.code);
    CHECK(covered.size() == Declarations::faultCodeNames.size());
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
