#include "commandfixture.h"

#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <string>

using CommandFixture::ChangedSet;
using CommandFixture::demoFolder;
using CommandFixture::LogFixture;
using CommandFixture::run;
using CommandFixture::RunResult;
using Commands::ExitCode;

namespace {

/// An assignment of pool stock-east as a VM would append it.
const std::string assignmentText = R"({"v":1,"kind":"assignment",
    "writer":{"kind":"vm","name":"vm-a","incarnation":7},"sequence":1,"pool":"stock-east","based_on":0,
    "dispatcher":{"vm":"vm-a","incarnation":7},"successor":{"vm":"vm-b","incarnation":8},
    "upstreams":{"stock-east-1":11,"stock-east-2":12,"stock-east-3":13},
    "shards":{"stock-east/0":["stock-east-1","stock-east-2"],"stock-east/1":["stock-east-1","stock-east-2"],
    "stock-east/2":["stock-east-1","stock-east-2"],"stock-east/3":["stock-east-2","stock-east-3"],
    "stock-east/4":["stock-east-2","stock-east-3"],"stock-east/5":["stock-east-2","stock-east-3"],
    "stock-east/6":["stock-east-3","stock-east-1"],"stock-east/7":["stock-east-3","stock-east-1"]}})";

/// A log whose first record is the demonstration set, and the second an assignment, if \a text is one.
void fill(LogFixture& log, const std::string& text)
{
    REQUIRE(run(log.withLog({ "publish", "--base", "0", demoFolder() })).code == ExitCode::Ok);
    StandInLog::addRecord(log.service.streams["crocusferry"], text, 1);
}

} // namespace

TEST_CASE("show gives what is in force in a form that can be published again", "[showcommand]")
{
    LogFixture log;
    CHECK(run(log.withLog({ "show" })).code == ExitCode::NotFound);
    fill(log, assignmentText);
    const RunResult shown = run(log.withLog({ "show" }));
    INFO(shown.out << shown.error);
    CHECK(shown.code == ExitCode::Ok);
    CHECK_THAT(shown.out, Catch::Contains("configuration at offset 1, log read to offset 2"));
    CHECK_THAT(shown.out,
        Catch::Contains("pool stock-east: token 2, dispatcher vm-a, successor vm-b, 8 shards, 0 unsettled"));
    CHECK_THAT(shown.out, Catch::Contains("stock-east-1: owns 3, stands by for 2"));

    const RunResult json = run(log.withLog({ "show", "--json" }));
    const boost::json::value document = boost::json::parse(json.out);
    CHECK(document.at("configuration_offset").as_int64() == 1);
    const boost::json::value& shards = document.at("pools").at("stock-east").at("shards");
    CHECK(shards.at("stock-east/6").at("owner").as_string() == "stock-east-3");

    const RunResult declarations = run(log.withLog({ "show", "--declarations" }));
    const ChangedSet folder("shown", "ranks.json", "50", "50");
    for (const std::filesystem::directory_entry& entry : std::filesystem::directory_iterator(folder.folder))
        std::filesystem::remove(entry.path());
    std::ofstream(folder.folder / "shown.json") << declarations.out;
    CHECK(run({ "diff", demoFolder(), folder.folder.string() }).out == "no changes\n");
}

TEST_CASE("watch names each record, its verdict and what changed", "[showcommand]")
{
    LogFixture log;
    fill(log, assignmentText);
    StandInLog::addRecord(log.service.streams["crocusferry"], "{", 1);
    const RunResult watched = run(log.withLog({ "watch", "--seconds", "1" }));
    INFO(watched.out << watched.error);
    CHECK(watched.code == ExitCode::Ok);
    CHECK_THAT(watched.out, Catch::Contains("1 accepted configuration by operator operator: base 0"));
    CHECK_THAT(
        watched.out, Catch::Contains("2 accepted assignment by vm vm-a: pool stock-east, dispatcher vm-a"));
    CHECK_THAT(watched.out, Catch::Contains("3 undecodable unreadable"));
    CHECK_THAT(watched.out, Catch::Contains("added Service \"stock\""));
}

TEST_CASE("watch names an outage once", "[showcommand]")
{
    StandInLog::LogFaults faults;
    faults.outage = 1;
    const LogFixture log(faults);
    const RunResult watched = run(log.withLog({ "watch", "--seconds", "1" }));
    CHECK(watched.code == ExitCode::Ok);
    CHECK(watched.error == "log: unavailable\n");
}
