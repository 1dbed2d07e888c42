#include "platformfixture.h"

#include <logservice/vmlistclient.h>
#include <standins/support/backgroundserver.h>
#include <standins/vmlist/vmlistservice.h>

#include <catch2/catch.hpp>

namespace {

using namespace std::chrono_literals;
using PlatformFixture::outcomeOf;

const std::string listText = R"({"vms":[
    {"name":"west-1-a","zone":"west-1","region":"west","address":"127.1.1.11","caller_port":8080,"peer_port":8081,
     "state":"live"},
    {"name":"west-2-a","zone":"west-2","region":"west","address":"127.1.2.11","caller_port":8080,"peer_port":8081,
     "state":"leaving"}]})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("the list is read whole", "[vmlistclient]")
{
    boost::asio::io_context context { 1 };
    StandInVmList::VmListService service(context);
    REQUIRE(StandInVmList::loadEntries(service, listText));
    StandInSupport::BackgroundServer server(context, StandInVmList::handlerOf(service));
    const boost::leaf::result<std::vector<LogService::VmEntry>> vms
        = LogService::listVms({ "127.0.0.1", server.port() }, 2s);
    REQUIRE(vms.has_value());
    REQUIRE(vms->size() == 2);
    const LogService::VmEntry first { Utils::VmId { "west-1-a" }, Utils::ZoneId { "west-1" },
        Utils::RegionId { "west" }, "127.1.1.11", 8080, 8081, LogService::VmState::Live };
    REQUIRE(vms->front() == first);
    REQUIRE(vms->back().state == LogService::VmState::Leaving);
}

TEST_CASE("faults of the list are told apart", "[vmlistclient]")
{
    struct Row {
        std::string name;
        std::uint64_t StandInVmList::VmListFaults::*fault;
        std::uint64_t value;
        std::string outcome;
    };
    using Faults = StandInVmList::VmListFaults;
    const Row row = GENERATE(values<Row>({
        { "outage", &Faults::outage, 1, "unavailable" },
        { "slow", &Faults::slowMs, 5000, "timeout" },
        { "malformed", &Faults::malformedNext, 1, "malformed" },
        { "truncated", &Faults::truncateNext, 1, "malformed" },
        { "over-long", &Faults::overlongNext, 1, "answer_too_large" },
    }));
    INFO(row.name);
    boost::asio::io_context context { 1 };
    StandInVmList::VmListService service(context);
    service.faults.*row.fault = row.value;
    StandInSupport::BackgroundServer server(context, StandInVmList::handlerOf(service));
    REQUIRE(outcomeOf([&] {
        return LogService::listVms({ "127.0.0.1", server.port() }, 300ms);
    }) == row.outcome);
}

TEST_CASE("an entry outside the contract makes the list malformed", "[vmlistclient]")
{
    const std::string text = GENERATE(replaced(listText, "\"name\":\"west-1-a\",", ""),
        replaced(listText, "west-1-a", ""), replaced(listText, "west-1-a", "west-2-a"),
        replaced(listText, "127.1.1.11", "host.example"), replaced(listText, "8080", "0"),
        replaced(listText, "8081", "65536"), replaced(listText, "8081", "\"8081\""),
        replaced(listText, "\"live\"", "\"dead\""), R"({"vms":[1]})", R"({"vms":{}})", "[]", "");
    INFO(text);
    boost::asio::io_context context { 1 };
    StandInSupport::BackgroundServer server(
        context, [&](const StandInSupport::HttpRequest&, const StandInSupport::ReplyFunction& reply) {
            reply({ 200, text });
        });
    REQUIRE(outcomeOf([&] {
        return LogService::listVms({ "127.0.0.1", server.port() }, 2s);
    }) == "malformed");
}
