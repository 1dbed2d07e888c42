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
    /// Requests that ran, over both servers.
    std::size_t ran;
};

} // namespace

TEST_CASE("A fault of one server is mended by another where nothing can run twice", "[upstreamfaults]")
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
        { "silent", &ServerFaults::silent, false, 200, 2 },
        { "silent, unsafe", &ServerFaults::silent, true, 504, 1 },
    }));
    INFO(row.name);
    TestEnvironment world;
    TestUpstream& one = addUpstream(world, "i-1", "plain");
    TestUpstream& two = addUpstream(world, "i-2", "plain");
    Edge::Service& vm = startReadyVm(world);
    // Whichever is asked first has the fault; the other has none.
    two.standIn.faults = one.standIn.faults;
    (*one.standIn.faults).*row.fault = 1;
    CallerRequest question;
    question.path = row.unsafe ? "/unsafe/1" : "/safe/1";
    question.method = row.unsafe ? http::verb::post : http::verb::get;
    const CallerResponse answer = sendRequest(world, vm, question);
    CHECK(answer.status == row.status);
    CHECK(one.standIn.ran.size() + two.standIn.ran.size() == row.ran);
    if (row.status == 504)
        CHECK((answer.elapsed >= 1400ms && answer.elapsed < 1700ms));
}

TEST_CASE("A second answer to an earlier request never becomes that of the next", "[upstreamfaults]")
{
    TestEnvironment world;
    TestUpstream& server = addUpstream(world, "i-1", "plain");
    Edge::Service& vm = startReadyVm(world);
    for (int request = 0; request < 8; ++request) {
        server.standIn.faults->extra = 1;
        CallerRequest question;
        question.path = "/safe/" + std::to_string(request);
        const CallerResponse answer = sendRequest(world, vm, question);
        CHECK(answer.status == 200);
        CHECK(answer.body == "i-1 " + question.path);
    }
}

TEST_CASE("An upstream that is gone costs no answer", "[upstreamfaults]")
{
    TestEnvironment world;
    TestUpstream& one = addUpstream(world, "i-1", "plain");
    addUpstream(world, "i-2", "plain");
    Edge::Service& vm = startReadyVm(world);
    boost::system::error_code ignored;
    one.httpServer.acceptor.close(ignored);
    one.httpServer.sessions.clear();
    for (int request = 0; request < 6; ++request) {
        CallerRequest question;
        question.path = "/unsafe/1";
        question.method = http::verb::post;
        CHECK(sendRequest(world, vm, question).status == 200);
    }
}

TEST_CASE("Without upstreams a request is refused at once, and told when to come back", "[upstreamfaults]")
{
    TestEnvironment world;
    Edge::Service& vm = startReadyVm(world);
    const CallerResponse answer = sendRequest(world, vm, {});
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.retryAfter.empty());
    CHECK(answer.elapsed < 100ms);
}

TEST_CASE("A request that crashes its upstreams is held back", "[upstreamfaults]")
{
    TestEnvironment world;
    TestUpstream& one = addUpstream(world, "i-1", "plain");
    TestUpstream& two = addUpstream(world, "i-2", "plain");
    Edge::Service& vm = startReadyVm(world);
    one.standIn.faults->loseAnswer = 100;
    two.standIn.faults->loseAnswer = 100;
    CallerRequest question;
    question.path = "/safe/poison";
    for (int request = 0; request < 6; ++request)
        CHECK(sendRequest(world, vm, question).status >= 500);
    CHECK(one.standIn.ran.size() + two.standIn.ran.size() <= 3);
    *one.standIn.faults = {};
    *two.standIn.faults = {};
    CHECK(sendRequest(world, vm, {}).status == 200);
}
