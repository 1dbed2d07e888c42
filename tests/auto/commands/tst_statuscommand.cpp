#include "commandfixture.h"

#include <standins/vmlist/vmlistservice.h>

#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <string>

using CommandFixture::demoFolder;
using CommandFixture::LogFixture;
using CommandFixture::run;
using CommandFixture::RunResult;
using Commands::ExitCode;

namespace {

/// A VM at 127.0.0.1, which gives its status, and when \a second is set one at 127.0.0.2, where nobody
/// listens.
std::string listText(bool second)
{
    const std::string entry = R"({"name":"vm-a","zone":"west-1","region":"west","address":"127.0.0.1",
        "caller_port":8080,"peer_port":8081,"state":"live"})";
    const std::string other = R"({"name":"vm-b","zone":"west-2","region":"west","address":"127.0.0.2",
        "caller_port":8080,"peer_port":8081,"state":"leaving"})";
    return "{\"vms\":[" + entry + (second ? "," + other : "") + "]}";
}

std::string statusText(const std::string& configurationOffset)
{
    return "{\"name\":\"vm-a\",\"applied\":1,\"configuration_offset\":" + configurationOffset
        + R"(,"log_status":"following","leaving":false,
        "duties":{"stock-west":{"role":"granting","token":3,"epoch":1,"served":7,"shards":8}}})";
}

/// What the VM answers, whether there is a second one, and what status ends with.
struct StatusRow {
    const char* name;
    std::string answer;
    bool second;
    ExitCode code;
    const char* words;
};

} // namespace

TEST_CASE("status tells current, lagging and silent VMs apart", "[statuscommand]")
{
    const StatusRow rows[] = {
        { "current", statusText("1"), false, ExitCode::Ok,
            "vm-a (west-1, live): current, configuration at offset 1, log read to 1 (0 behind), following\n"
            "  pool stock-west: granting, serves 7 of 8 shards\n" },
        { "lagging", statusText("0"), false, ExitCode::Lagging,
            "vm-a (west-1, live): lags, configuration at offset 0" },
        { "no JSON", "{", false, ExitCode::Lagging, "vm-a (west-1, live): no answer: malformed" },
        { "no offset", "{}", false, ExitCode::Lagging, "vm-a (west-1, live): no answer: malformed" },
        { "negative offset", statusText("-1"), false, ExitCode::Lagging, "no answer: malformed" },
        { "one silent", statusText("1"), true, ExitCode::Lagging,
            "vm-b (west-2, leaving): no answer: unreachable" },
    };
    for (const StatusRow& row : rows) {
        INFO(row.name);
        const LogFixture log;
        REQUIRE(run(log.withLog({ "publish", "--base", "0", demoFolder() })).code == ExitCode::Ok);
        boost::asio::io_context context { 1 };
        StandInVmList::VmListService list(context);
        REQUIRE(StandInVmList::loadEntries(list, listText(row.second)));
        const StandInSupport::BackgroundServer vms(context, StandInVmList::handlerOf(list));
        boost::asio::io_context adminContext { 1 };
        const StandInSupport::BackgroundServer admin(adminContext,
            [&row](const StandInSupport::HttpRequest&, const StandInSupport::ReplyFunction& reply) {
                reply({ 200, row.answer });
            });
        const RunResult result = run(log.withLog({ "status", "--vms",
            "127.0.0.1:" + std::to_string(vms.port()), "--admin-port", std::to_string(admin.port()) }));
        INFO(result.out << result.error);
        CHECK(result.code == row.code);
        CHECK_THAT(result.out, Catch::Contains(row.words));
    }
}

TEST_CASE("status needs the VM list, and goes on without the log", "[statuscommand]")
{
    StandInLog::LogFaults faults;
    faults.outage = 1;
    const LogFixture log(faults);
    CHECK(run(log.withLog({ "status" })).code == ExitCode::Usage);
    CHECK(run(log.withLog({ "status", "--vms", "127.0.0.1:1" })).code == ExitCode::NotFound);
    boost::asio::io_context context { 1 };
    StandInVmList::VmListService list(context);
    REQUIRE(StandInVmList::loadEntries(list, listText(false)));
    const StandInSupport::BackgroundServer vms(context, StandInVmList::handlerOf(list));
    const RunResult result = run(log.withLog(
        { "status", "--json", "--admin-port", "1", "--vms", "127.0.0.1:" + std::to_string(vms.port()) }));
    CHECK(result.code == ExitCode::LogUnreachable);
    const boost::json::value document = boost::json::parse(result.out);
    CHECK(document.at("vms").at(0).at("failure").as_string() == "unreachable");
}
