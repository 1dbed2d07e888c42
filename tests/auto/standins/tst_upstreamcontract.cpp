#include "loopbackclient.h"
#include "loopbackupstream.h"

#include <standins/journal/journalreader.h>
#include <standins/journal/jsonfields.h>

#include <boost/beast/http/error.hpp>
#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <string>
#include <vector>

namespace {

using Journal::UpstreamEvent;

StandInUpstream::UpstreamOptions testOptions()
{
    StandInUpstream::UpstreamOptions options;
    options.name = "u";
    options.service = std::chrono::milliseconds(1);
    options.journal = (std::filesystem::temp_directory_path() / "tst_upstreamcontract").string()
        + std::to_string(::getpid()) + ".jsonl";
    return options;
}

boost::json::object bodyOf(const LoopbackAnswer& answer)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(answer.response.body(), error);
    return value.is_object() ? value.get_object() : boost::json::object();
}

std::vector<UpstreamEvent> eventsOf(const LoopbackUpstream& upstream)
{
    Journal::JournalSet set;
    std::vector<UpstreamEvent> events;
    if (!Journal::readUpstreamJournal(set, upstream.server.options.journal))
        return events;
    for (const Journal::UpstreamRow& row : set.upstreams)
        events.push_back(row.event);
    return events;
}

/// Grants stock/0 at level 5.1 for \a length; the answer.
LoopbackAnswer grantShard(LoopbackClient& client, std::int64_t length, std::uint64_t sequence = 1)
{
    const boost::json::object state = bodyOf(client.call("GET", "/control/state"));
    const std::string incarnation = std::to_string(Journal::numberField<std::uint64_t>(state, "incarnation"));
    const std::string expires
        = std::to_string(Journal::numberField<std::int64_t>(state, "clock_us") + length);
    const std::string body = R"({"token":5,"epoch":1,"incarnation":)" + incarnation + R"(,"sequence":)"
        + std::to_string(sequence) + R"(,"expires_at_us":)" + expires + R"(,"shards":["stock/0"]})";
    return client.call("POST", "/control/grant", {}, body);
}

constexpr std::int64_t second = 1'000'000;

struct WorkCase {
    std::string name;
    std::string faults;
    LoopbackHeaders headers;
    unsigned status;
    std::string notRun;
};

const LoopbackHeaders rightful { { "Fencing-Token", "5.1" }, { "Shard", "stock/0" } };

const std::vector<WorkCase> workCases {
    { "rightful", "{}", rightful, 200, "" },
    { "successor's level", "{}", { { "Fencing-Token", "5.2" }, { "Shard", "stock/0" } }, 200, "" },
    { "stale level", "{}", { { "Fencing-Token", "4.9" }, { "Shard", "stock/0" } }, 409, "stale_level" },
    { "no level", "{}", { { "Shard", "stock/0" } }, 409, "stale_level" },
    { "shard not held", "{}", { { "Fencing-Token", "5.1" }, { "Shard", "stock/1" } }, 409, "not_held" },
    { "shedding", R"({"shed":true})", rightful, 503, "shedding" },
    { "draining", R"({"drain":true})", rightful, 503, "draining" },
    { "no time left", "{}",
        { { "Fencing-Token", "5.1" }, { "Shard", "stock/0" }, { "Request-Timeout-Ms", "0" } }, 504,
        "deadline" },
};

struct BrokenCase {
    std::string name;
    std::string faults;
    std::string target;
    UpstreamEvent lastEvent;
};

const std::vector<BrokenCase> brokenCases {
    { "answer lost", R"({"lose_answer_next":1})", "/stock/k", UpstreamEvent::AnswerLost },
    { "echo cut", R"({"cut_answer_next":1})", "/stock/k", UpstreamEvent::AnswerCut },
    { "bytes cut", R"({"cut_answer_next":1})", "/stock/k?size=1000", UpstreamEvent::AnswerCut },
    { "chunks cut", R"({"cut_answer_next":1})", "/stock/k?size=300000", UpstreamEvent::AnswerCut },
};

struct ControlCase {
    std::string name;
    bool checksGrants;
    std::string method;
    std::string target;
    std::string body;
    unsigned status;
    std::string verdict;
};

const std::vector<ControlCase> controlCases {
    { "state", true, "GET", "/control/state", "", 200, "accepted" },
    { "state when unchecked", false, "GET", "/control/state", "", 200, "accepted" },
    { "fence any start", true, "POST", "/control/fence", R"({"token":5,"epoch":2,"incarnation":0})", 200,
        "accepted" },
    { "fence another start", true, "POST", "/control/fence", R"({"token":5,"epoch":2,"incarnation":1})", 409,
        "wrong_incarnation" },
    { "fence when unchecked", false, "POST", "/control/fence", R"({"token":5,"epoch":2,"incarnation":0})",
        404, "" },
    { "fence without level", true, "POST", "/control/fence", R"({"incarnation":0})", 400, "" },
    { "grant to another start", true, "POST", "/control/grant",
        R"({"token":5,"epoch":1,"incarnation":1,"sequence":1,"expires_at_us":1,"shards":[]})", 409,
        "wrong_incarnation" },
    { "grant when unchecked", false, "POST", "/control/grant",
        R"({"token":5,"epoch":1,"incarnation":1,"sequence":1,"expires_at_us":1,"shards":[]})", 404, "" },
    { "grant that is not JSON", true, "POST", "/control/grant", "x", 400, "" },
    { "cancel of nothing", true, "POST", "/control/cancel", R"({"request":"r"})", 200, "" },
    { "unknown fault", true, "POST", "/faults", R"({"flood":true})", 400, "" },
};

} // namespace

TEST_CASE("work is run or refused as its level and the faults say", "[upstreamcontract]")
{
    const WorkCase row = GENERATE(from_range(workCases));
    INFO(row.name);
    LoopbackUpstream upstream(testOptions());
    LoopbackClient client(upstream.port);
    REQUIRE(grantShard(client, 60 * second).response.result_int() == 200);
    REQUIRE(client.call("POST", "/faults", {}, row.faults).response.result_int() == 200);
    const LoopbackAnswer answer = client.call("GET", "/stock/k", row.headers);
    REQUIRE_FALSE(answer.error);
    REQUIRE(answer.response.result_int() == row.status);
    REQUIRE(std::string(answer.response["Not-Run"]) == row.notRun);
    REQUIRE(answer.response["Retry-After-Ms"].empty() == (row.status != 503));
    const UpstreamEvent lastEvent = eventsOf(upstream).back();
    REQUIRE(lastEvent == (row.notRun.empty() ? UpstreamEvent::RequestEnded : UpstreamEvent::Refused));
}

TEST_CASE("a lost or cut answer is seen as such, and the work has run", "[upstreamcontract]")
{
    const BrokenCase row = GENERATE(from_range(brokenCases));
    INFO(row.name);
    StandInUpstream::UpstreamOptions options = testOptions();
    options.checksGrants = false;
    LoopbackUpstream upstream(options);
    LoopbackClient client(upstream.port);
    REQUIRE(client.call("POST", "/faults", {}, row.faults).response.result_int() == 200);
    REQUIRE(client.call("GET", row.target).error);
    const std::vector<UpstreamEvent> events = eventsOf(upstream);
    REQUIRE(events[events.size() - 2] == UpstreamEvent::RequestEnded);
    REQUIRE(events.back() == row.lastEvent);
    LoopbackClient next(upstream.port);
    REQUIRE(next.call("GET", row.target).response.result_int() == 200);
}

TEST_CASE("control requests answer as the interface page says", "[upstreamcontract]")
{
    const ControlCase row = GENERATE(from_range(controlCases));
    INFO(row.name);
    StandInUpstream::UpstreamOptions options = testOptions();
    options.checksGrants = row.checksGrants;
    LoopbackUpstream upstream(options);
    LoopbackClient client(upstream.port);
    const LoopbackAnswer answer = client.call(row.method, row.target, {}, row.body);
    REQUIRE(answer.response.result_int() == row.status);
    REQUIRE(Journal::stringField(bodyOf(answer), "verdict") == row.verdict);
}

TEST_CASE("a grant ends, and the same grant again is stale", "[upstreamcontract]")
{
    LoopbackUpstream upstream(testOptions());
    LoopbackClient client(upstream.port);
    REQUIRE(grantShard(client, 20'000).response.result_int() == 200);
    REQUIRE(Journal::stringField(bodyOf(grantShard(client, second)), "verdict") == "stale_sequence");
    REQUIRE(Journal::stringField(bodyOf(grantShard(client, -1, 2)), "verdict") == "already_expired");
    client.call("POST", "/faults", {}, R"({"freeze_ms":30})");
    REQUIRE(client.call("GET", "/stock/k", rightful).response["Not-Run"] == "already_expired");
}

TEST_CASE("work beyond the slots is shed and counted", "[upstreamcontract]")
{
    StandInUpstream::UpstreamOptions options = testOptions();
    options.checksGrants = false;
    LoopbackUpstream upstream(options);
    LoopbackClient control(upstream.port);
    control.call("POST", "/faults", {}, R"({"slow_ms":300})");
    LoopbackClient first(upstream.port);
    LoopbackClient second(upstream.port);
    LoopbackClient third(upstream.port);
    first.send("GET", "/stock/k", { { "Request-Id", "first" } });
    second.send("GET", "/stock/k", { { "Request-Id", "second" } });
    while (Journal::numberField<double>(bodyOf(control.call("GET", "/health")), "load") < 1)
        std::this_thread::yield();
    REQUIRE(third.call("GET", "/stock/k").response["Not-Run"] == "shedding");
    REQUIRE(eventsOf(upstream)[3] == UpstreamEvent::Overcommitted);

    const LoopbackAnswer cancel = control.call("POST", "/control/cancel", {}, R"({"request":"first"})");
    REQUIRE(Journal::stringField(bodyOf(cancel), "state") == "cancelled");
    REQUIRE(first.receive().response["Not-Run"] == "cancelled");
    REQUIRE(second.receive().response.result_int() == 200);
}

TEST_CASE("silent connections stay silent and new ones work", "[upstreamcontract]")
{
    StandInUpstream::UpstreamOptions options = testOptions();
    options.checksGrants = false;
    LoopbackUpstream upstream(options);
    LoopbackClient silenced(upstream.port);
    REQUIRE(silenced.call("GET", "/stock/k").response.result_int() == 200);
    LoopbackClient control(upstream.port);
    control.call("POST", "/faults", {}, R"({"silence_open_connections":true})");
    silenced.send("GET", "/stock/k");
    REQUIRE(silenced.receive(std::chrono::milliseconds(50)).error == boost::beast::error::timeout);
    LoopbackClient fresh(upstream.port);
    REQUIRE(fresh.call("GET", "/stock/k").response.result_int() == 200);
    REQUIRE(eventsOf(upstream)
        == std::vector<UpstreamEvent> { UpstreamEvent::Started, UpstreamEvent::RequestStarted,
            UpstreamEvent::RequestEnded, UpstreamEvent::RequestStarted, UpstreamEvent::RequestEnded });
}
