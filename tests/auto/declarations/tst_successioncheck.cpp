#include "baseset.h"
#include "faultprinter.h"

#include <declarations/configurationparser.h>
#include <declarations/configurationreader.h>
#include <declarations/successioncheck.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using Declarations::Fault;
using Declarations::FaultCode;
using DeclarationsTest::baseSet;
using DeclarationsTest::baseSetWith;

namespace {

struct Replacement {
    const char* from;
    const char* to;
};

/// A change to the base set and the fault, if any, that keeps it from following the base set.
struct SuccessionRow {
    const char* name;
    Replacement change;
    std::vector<FaultCode> codes;
    const char* place;
    const char* object;
};

const SuccessionRow successionRows[] = {
    { "nothing changes", { "\"name\":\"stock-f\"", "\"name\":\"stock-f\"" }, {}, "", "" },
    { "an upstream leaves", { "\"slots\":4", "\"slots\":4,\"leaving\":true" }, {}, "", "" },
    { "more shards", { "\"pool\":\"stock-east\",\"shards\":8", "\"pool\":\"stock-east\",\"shards\":9" },
        { FaultCode::KeyRangeReshaped }, "/objects/5/shards", "stock-e" },
    { "another pool", { "\"pool\":\"stock-east\"", "\"pool\":\"stock-west\"" }, {}, "", "" },
    { "another name for the same keys", { "\"name\":\"stock-f\"", "\"name\":\"stock-g\"" }, {}, "", "" },
    { "another split",
        { "\"from\":\"e\",\"to\":\"f\",\"pool\":\"stock-east\",\"shards\":8},\n{\"kind\":\"KeyRange\","
          "\"name\":\"stock-f\",\"service\":\"stock\",\"from\":\"f\"",
            "\"from\":\"e\",\"to\":\"g\",\"pool\":\"stock-east\",\"shards\":8},\n{\"kind\":\"KeyRange\","
            "\"name\":\"stock-f\",\"service\":\"stock\",\"from\":\"g\"" },
        { FaultCode::KeyRangeReshaped, FaultCode::KeyRangeReshaped }, "/objects/5/to", "stock-e" },
};

} // namespace

TEST_CASE("a key range keeps its keys and shards from one configuration to the next", "[successioncheck]")
{
    const Declarations::Configuration current = *Declarations::readConfiguration(baseSet()).configuration;
    for (const SuccessionRow& row : successionRows) {
        INFO(row.name);
        const Declarations::ParsedSet next
            = Declarations::parseConfiguration(baseSetWith(row.change.from, row.change.to));
        REQUIRE(next.faults.empty());
        const std::vector<Fault> faults
            = Declarations::checkSuccession(current, next.configuration, next.origins);
        std::vector<FaultCode> codes;
        codes.reserve(faults.size());
        for (const Fault& fault : faults)
            codes.push_back(fault.code);
        CHECK(codes == row.codes);
        if (!faults.empty()) {
            CHECK(faults[0].file == "work.json");
            CHECK(faults[0].place == row.place);
            CHECK(faults[0].object == row.object);
        }
    }
}

TEST_CASE("a service that comes or goes is free in its ranges", "[successioncheck]")
{
    const Declarations::Configuration full = *Declarations::readConfiguration(baseSet()).configuration;
    const Declarations::Configuration none;
    CHECK(Declarations::checkSuccession(none, full).empty());
    CHECK(Declarations::checkSuccession(full, none).empty());
}
