#include "commandfixture.h"

#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using CommandFixture::ChangedSet;
using CommandFixture::run;
using CommandFixture::RunResult;
using Commands::ExitCode;

namespace {

const std::string demo = CommandFixture::demoFolder();

/// A call and what it ends with.
struct CallRow {
    std::vector<std::string> arguments;
    ExitCode code;
    const char* out;
    const char* error;
};

} // namespace

TEST_CASE("calls end with the documented codes", "[commandtable]")
{
    const CallRow rows[] = {
        { {}, ExitCode::Usage, "", "usage: crocusferry" },
        { { "--help" }, ExitCode::Ok, "exit codes:", "" },
        { { "fly" }, ExitCode::Usage, "", "no command \"fly\"" },
        { { "check" }, ExitCode::Usage, "", "see crocusferry check --help" },
        { { "check", "--unheard", demo }, ExitCode::Usage, "", "see crocusferry check --help" },
        { { "check", demo }, ExitCode::Ok,
            "ok: 7 files, 2 regions, 4 zones, 2 services, 4 pools, 12 upstreams, 32 shards\n", "" },
        { { "check", "--json", demo }, ExitCode::Ok, "{\"result\":\"ok\"", "" },
        { { "check", "/nowhere" }, ExitCode::NotFound, "", "/nowhere: not_found" },
        { { "check", demo + "/ranks.json" }, ExitCode::Faults, "no_services", "" },
        { { "diff", demo }, ExitCode::Usage, "", "see crocusferry diff --help" },
        { { "diff", demo, demo }, ExitCode::Ok, "no changes\n", "" },
        { { "diff", demo, "/nowhere" }, ExitCode::NotFound, "", "/nowhere: not_found" },
        { { "diff", demo, demo + "/ranks.json" }, ExitCode::Faults, "no_services", "" },
    };
    for (const CallRow& row : rows) {
        const RunResult result = run(row.arguments);
        INFO(result.out << result.error);
        CHECK(result.code == row.code);
        CHECK_THAT(result.out, Catch::Contains(row.out));
        CHECK_THAT(result.error, Catch::Contains(row.error));
    }
}

TEST_CASE("check lists a fault with file, place and object", "[commandtable]")
{
    const ChangedSet set("check", "keyranges.json", "\"to\": \"w\"", "\"to\": \"v\"");
    const RunResult text = run({ "check", set.folder.string() });
    CHECK(text.code == ExitCode::Faults);
    CHECK(text.out
        == (set.folder / "keyranges.json").string()
            + ": /objects/1/from: KeyRange \"stock-west\": key_ranges_gap: "
              "keys from \"v\" up to \"w\" belong to no range\n1 fault\n");
    const RunResult json = run({ "check", "--json", set.folder.string() });
    CHECK(json.code == ExitCode::Faults);
    const boost::json::value document = boost::json::parse(json.out);
    const boost::json::object& fault = document.at("faults").as_array().at(0).as_object();
    CHECK(document.at("result").as_string() == "faults");
    CHECK(fault.at("code").as_string() == "key_ranges_gap");
    CHECK(fault.at("place").as_string() == "/objects/1/from");
    CHECK(fault.at("object").as_string() == "stock-west");
}

TEST_CASE("diff lists changed fields and what may not follow", "[commandtable]")
{
    const ChangedSet allowed("allowed", "ranks.json", "\"target_ms\": 50,", "\"target_ms\": 60,");
    const RunResult changed = run({ "diff", demo, allowed.folder.string() });
    CHECK(changed.code == ExitCode::Ok);
    CHECK(changed.out == "changed Rank \"urgent\" /target_ms: 50 -> 60\n");

    const ChangedSet refused("refused", "keyranges.json", "\"shards\": 8", "\"shards\": 9");
    const RunResult reshaped = run({ "diff", "--json", demo, refused.folder.string() });
    CHECK(reshaped.code == ExitCode::Faults);
    const boost::json::value document = boost::json::parse(reshaped.out);
    CHECK(document.at("changes").as_array().at(0).at("field").as_string() == "/shards");
    CHECK(document.at("faults").as_array().at(0).at("code").as_string() == "key_range_reshaped");
}
