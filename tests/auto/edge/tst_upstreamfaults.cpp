#include "repeatingupstream.h"
#include "testenvironment.h"

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
using StandInServer::ServerFaults;

namespace {

struct Row {
    const char* name;
    std::size_t ServerFaults::*fault;
    bool unsafe;
    unsigned status;
    /// Number of requests that ran on both upstreams.
    std::size_t ran;
};

} // namespace

TEST_CASE("A request that fails at one upstream is retried at another only if it cannot run twice",
    "[upstreamfaults]")
{
    const Row row = GENERATE(values<Row>({
        { "refused", &ServerFaults::refuse, false, 200, 1 },
        { "refused, unsafe", &ServerFaults::refuse, true, 200, 1 },
        { "address of another, unsafe", &ServerFaults::misdirect, true, 200, 1 },
        { "answer lost", &ServerFaults::loseAnswer, false, 200, 2 },
        { "answer lost, unsafe", &ServerFaults::loseAnswer, true, 502, 1 },
        { "answer cut", &ServerFaults::truncate, false, 200, 2 },
        { "answer cut, unsafe", &ServerFaults::truncate, true, 502, 1 },
        { "garbled", &ServerFaults::garble, false, 200, 2 },
        { "garbled, unsafe", &ServerFaults::garble, true, 502, 1 },
        { "failure", &ServerFaults::fail, false, 200, 2 },
        { "failure, unsafe", &ServerFaults::fail, true, 500, 1 },
        { "not signed", &ServerFaults::unsign, false, 200, 2 },
        { "not signed, unsafe", &ServerFaults::unsign, true, 502, 1 },
        { "silent", &ServerFaults::silent, false, 200, 2 },
        { "silent, unsafe", &ServerFaults::silent, true, 504, 1 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    TestUpstream& one = addUpstream(environment, "i-1", "plain");
    TestUpstream& two = addUpstream(environment, "i-2", "plain");
    Edge::Service& vm = startReadyVm(environment);
    // The faults are shared: the upstream that gets the first attempt has the fault, the other none.
    two.standIn.faults = one.standIn.faults;
    (*one.standIn.faults).*row.fault = 1;
    CallerRequest callerRequest;
    callerRequest.path = row.unsafe ? "/unsafe/1" : "/safe/1";
    callerRequest.method = row.unsafe ? http::verb::post : http::verb::get;
    const CallerResponse response = sendRequest(environment, vm, callerRequest);
    CHECK(response.status == row.status);
    CHECK(one.standIn.ran.size() + two.standIn.ran.size() == row.ran);
    if (row.status == 504)
        CHECK((response.elapsed >= 1400ms && response.elapsed < 1700ms));
}

TEST_CASE("A duplicate response to an earlier request is not delivered for the next one", "[upstreamfaults]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    for (int request = 0; request < 8; ++request) {
        upstream.standIn.faults->extra = 1;
        CallerRequest callerRequest;
        callerRequest.path = "/safe/" + std::to_string(request);
        const CallerResponse response = sendRequest(environment, vm, callerRequest);
        CHECK(response.status == 200);
        CHECK(response.body == "i-1 " + callerRequest.path);
    }
}

TEST_CASE(
    "A status that would say that the request has not run is not passed on if it has", "[upstreamfaults]")
{
    struct Row {
        unsigned upstreamStatus;
        unsigned status;
    };
    const Row row
        = GENERATE(values<Row>({ { 408, 502 }, { 429, 502 }, { 503, 502 }, { 500, 500 }, { 404, 404 } }));
    INFO(row.upstreamStatus);
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    upstream.standIn.faults->fail = 1;
    upstream.standIn.faults->failStatus = row.upstreamStatus;
    CallerRequest callerRequest;
    callerRequest.path = "/unsafe/1";
    callerRequest.method = http::verb::post;
    const CallerResponse response = sendRequest(environment, vm, callerRequest);
    CHECK(response.status == row.status);
    CHECK(response.serverStamp.empty() == (row.status != row.upstreamStatus));
    CHECK(upstream.standIn.ran.size() == 1);
}

TEST_CASE("A response that names no request is not delivered where an earlier one could be meant",
    "[upstreamfaults]")
{
    TestEnvironment environment;
    TestUpstream& upstream = addUpstream(environment, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    CallerRequest callerRequest;
    callerRequest.path = "/unsafe/1";
    callerRequest.method = http::verb::post;
    REQUIRE(sendRequest(environment, vm, callerRequest).status == 200);
    upstream.standIn.faults->unname = 1;
    CHECK(sendRequest(environment, vm, callerRequest).status == 502);
    CHECK(sendRequest(environment, vm, callerRequest).status == 200);
    CHECK(upstream.standIn.ran.size() == 3);
}

TEST_CASE(
    "A second copy of a rejection does not reject the next attempt of the same request", "[upstreamfaults]")
{
    TestEnvironment environment;
    RepeatingUpstream upstream(environment.context);
    StandInStore::putRecord(environment.store, "keyed.servers", "i-1",
        R"({"address":")" + addressOf(upstream)
            + R"(","info":{"service":"keyed","version":"v1","zone":"z1","slots":2},)"
            + R"("status":{"state":"ready","seq_no":1,"cold_left":"0ms"},"born":1})");
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&upstream] { return upstream.grants > 0; }));
    runFor(environment, 200ms);
    CallerRequest callerRequest;
    callerRequest.path = "/key/1";
    callerRequest.key = 7;
    const CallerResponse response = sendRequest(environment, vm, callerRequest);
    CHECK(response.status == 200);
    CHECK(response.body == "ran 1");
    CHECK(upstream.ran == 1);
}

TEST_CASE("No request fails because an upstream has terminated", "[upstreamfaults]")
{
    TestEnvironment environment;
    TestUpstream& one = addUpstream(environment, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    Edge::Service& vm = startReadyVm(environment);
    boost::system::error_code ignored;
    one.httpServer.acceptor.close(ignored);
    one.httpServer.sessions.clear();
    for (int request = 0; request < 6; ++request) {
        CallerRequest callerRequest;
        callerRequest.path = "/unsafe/1";
        callerRequest.method = http::verb::post;
        CHECK(sendRequest(environment, vm, callerRequest).status == 200);
    }
}

TEST_CASE("Without upstreams a request is rejected immediately with Retry-After", "[upstreamfaults]")
{
    TestEnvironment environment;
    Edge::Service& vm = startReadyVm(environment);
    const CallerResponse response = sendRequest(environment, vm, {});
    CHECK(response.status == 503);
    CHECK_FALSE(response.retryAfter.empty());
    CHECK(response.elapsed < 100ms);
}

TEST_CASE("A request that crashes its upstreams is quarantined", "[upstreamfaults]")
{
    TestEnvironment environment;
    TestUpstream& one = addUpstream(environment, "i-1", "plain");
    TestUpstream& two = addUpstream(environment, "i-2", "plain");
    Edge::Service& vm = startReadyVm(environment);
    one.standIn.faults->loseAnswer = 100;
    two.standIn.faults->loseAnswer = 100;
    CallerRequest callerRequest;
    callerRequest.path = "/safe/poison";
    for (int request = 0; request < 6; ++request)
        CHECK(sendRequest(environment, vm, callerRequest).status >= 500);
    CHECK(one.standIn.ran.size() + two.standIn.ran.size() <= 3);
    *one.standIn.faults = {};
    *two.standIn.faults = {};
    CHECK(sendRequest(environment, vm, {}).status == 200);
}

TEST_CASE(
    "A request is served when more upstreams are unreachable than it may be sent to", "[upstreamfaults]")
{
    const bool unsafe = GENERATE(false, true);
    INFO((unsafe ? "unsafe" : "idempotent"));
    TestEnvironment environment;
    for (unsigned index = 1; index <= 5; ++index)
        addUpstream(environment, "i-" + std::to_string(index), "plain");
    Edge::Service& vm = startReadyVm(environment);
    for (std::size_t index = 0; index < 4; ++index)
        StandInSupport::crash(environment.upstreams[index]->httpServer);
    CallerRequest callerRequest;
    callerRequest.path = unsafe ? "/unsafe/1" : "/safe/1";
    callerRequest.method = unsafe ? http::verb::post : http::verb::get;
    CHECK(sendRequest(environment, vm, callerRequest).status == 200);
    CHECK(environment.upstreams[4]->standIn.ran.size() == 1);
}

TEST_CASE("An attempt goes on while the retry budget permits no other one", "[upstreamfaults]")
{
    TestEnvironment environment;
    TestUpstream& one = addUpstream(environment, "i-1", "plain");
    TestUpstream& two = addUpstream(environment, "i-2", "plain");
    Edge::Service& vm = startReadyVm(environment);
    // A VM that has just started has no share of the slack.
    vm.node.startedAt = std::chrono::time_point_cast<Utils::Duration>(std::chrono::steady_clock::now());
    for (int request = 0; request < 3; ++request)
        REQUIRE(sendRequest(environment, vm, {}).status == 200);
    one.standIn.work = 900ms;
    two.standIn.work = 900ms;
    CHECK(sendRequest(environment, vm, {}).status == 200);
    CHECK(one.standIn.ran.size() + two.standIn.ran.size() == 4);
}
