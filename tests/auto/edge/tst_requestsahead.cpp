#include "rawcaller.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace EdgeTest;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t upstreamCount = 24;

void addUpstreams(TestEnvironment& environment, const std::map<std::string, milliseconds>& workByPath = {})
{
    for (std::size_t index = 1; index <= upstreamCount; ++index)
        addUpstream(environment, "i-" + std::to_string(index), "plain").standIn.workByPath = workByPath;
}

std::size_t ranCount(const TestEnvironment& environment)
{
    std::size_t count = 0;
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        count += upstream->standIn.ran.size();
    return count;
}

/// The path that \a response is for; stand-ins respond with their name and the path.
std::string pathOf(const RawResponse& response) { return response.body.substr(response.body.find(' ') + 1); }

bool runUntilResponses(TestEnvironment& environment, const RawCaller& caller, std::size_t count)
{
    return runUntil(environment, [&] { return responsesOf(caller).size() >= count || caller.closed; });
}

} // namespace

TEST_CASE("Requests sent ahead run side by side and are answered in their order", "[requestsahead]")
{
    struct Row {
        const char* name;
        std::vector<milliseconds> work;
        milliseconds maxElapsed;
    };
    const Row row = GENERATE(values<Row>({
        { "equal", std::vector<milliseconds>(4, 400ms), 600ms },
        { "the first is the longest", { 450ms, 100ms, 100ms, 100ms }, 600ms },
        { "the last is the longest", { 100ms, 100ms, 100ms, 450ms }, 600ms },
        { "as many as are read ahead", std::vector<milliseconds>(16, 100ms), 400ms },
        { "more than are read ahead", std::vector<milliseconds>(40, 100ms), 900ms },
    }));
    const bool inOneSegment = GENERATE(true, false);
    INFO(row.name << (inOneSegment ? ", in one segment" : ", one after the other"));
    TestEnvironment environment;
    std::map<std::string, milliseconds> workByPath;
    std::vector<std::string> requests;
    for (std::size_t index = 0; index < row.work.size(); ++index) {
        const std::string path = "/safe/" + std::to_string(index);
        workByPath[path] = row.work[index];
        requests.push_back(requestBytes(path));
    }
    addUpstreams(environment, workByPath);
    Edge::Service& vm = startReadyVm(environment);
    RawCaller caller(environment.context);
    std::string all;
    for (const std::string& request : requests)
        all += request;
    const steady_clock::time_point start = steady_clock::now();
    connectAndSend(caller, vm, inOneSegment ? all : requests.front());
    for (std::size_t index = 1; !inOneSegment && index < requests.size(); ++index) {
        runFor(environment, 1ms);
        sendBytes(caller, requests[index]);
    }
    REQUIRE(runUntilResponses(environment, caller, requests.size()));
    CHECK(steady_clock::now() - start < row.maxElapsed);
    const std::vector<RawResponse> responses = responsesOf(caller);
    REQUIRE(responses.size() == requests.size());
    for (std::size_t index = 0; index < responses.size(); ++index) {
        CHECK(responses[index].status == 200);
        CHECK(pathOf(responses[index]) == "/safe/" + std::to_string(index));
    }
    CHECK(ranCount(environment) == requests.size());
}

TEST_CASE("The requests of a caller that disconnects are cancelled, whatever it has sent", "[requestsahead]")
{
    struct Row {
        const char* name;
        std::vector<std::string> segments;
        std::size_t ran;
    };
    const std::string partialHeader = "GET /safe/9 HTTP/1.1\r\nHost: a.exa";
    const std::string partialBody
        = "POST /unsafe/9 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\npart";
    const std::string manyRequests = [] {
        std::string all;
        for (int index = 0; index < 60; ++index)
            all += requestBytes("/safe/" + std::to_string(index));
        return all;
    }();
    const std::vector<Row> rows {
        { "one request", { requestBytes("/safe/1") }, 1 },
        { "two in one segment", { requestBytes("/safe/1") + requestBytes("/safe/2") }, 2 },
        { "two segments", { requestBytes("/safe/1"), requestBytes("/safe/2") }, 2 },
        { "a partial header behind", { requestBytes("/safe/1"), partialHeader }, 1 },
        { "a partial body behind", { requestBytes("/safe/1"), partialBody }, 1 },
        { "an unsafe request behind", { requestBytes("/safe/1"), requestBytes("/unsafe/2", "", "x") }, 1 },
        { "bytes behind the last request",
            { requestBytes("/safe/1", "Connection: close\r\n"), requestBytes("/safe/2") }, 1 },
        { "more than are read ahead", { requestBytes("/safe/1"), manyRequests }, 16 },
    };
    const bool isReset = GENERATE(false, true);
    for (const Row& row : rows) {
        INFO(row.name << (isReset ? ", reset" : ", closed"));
        TestEnvironment environment;
        addUpstreams(environment);
        Edge::Service& vm = startReadyVm(environment);
        for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
            upstream->standIn.work = 1200ms;
        RawCaller caller(environment.context);
        connectAndSend(caller, vm, row.segments.front());
        for (std::size_t index = 1; index < row.segments.size(); ++index) {
            runFor(environment, 100ms);
            sendBytes(caller, row.segments[index]);
        }
        runFor(environment, 300ms);
        CHECK(ranCount(environment) == row.ran);
        if (isReset)
            caller.socket.set_option(boost::asio::socket_base::linger(true, 0));
        caller.socket.close();
        CHECK(runUntil(
            environment, [&vm] { return vm.node.traffic.exchanges.empty(); }, 200ms));
        CHECK(vm.node.traffic.upstreamConnections.empty());
        runFor(environment, 300ms);
        CHECK(vm.node.traffic.callerConnections.empty());
        CHECK(ranCount(environment) == row.ran);
    }
}

TEST_CASE("A caller that has only closed its sending side gets all responses", "[requestsahead]")
{
    const std::size_t count = GENERATE(1U, 3U);
    TestEnvironment environment;
    addUpstreams(environment);
    Edge::Service& vm = startReadyVm(environment);
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        upstream->standIn.work = 700ms;
    RawCaller caller(environment.context);
    std::string all;
    for (std::size_t index = 0; index < count; ++index)
        all += requestBytes("/safe/" + std::to_string(index));
    connectAndSend(caller, vm, all);
    caller.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    REQUIRE(runUntil(environment, [&caller] { return caller.closed; }));
    const std::vector<RawResponse> responses = responsesOf(caller);
    REQUIRE(responses.size() == count);
    for (std::size_t index = 0; index < count; ++index)
        CHECK(pathOf(responses[index]) == "/safe/" + std::to_string(index));
    CHECK(vm.node.traffic.callerConnections.empty());
}

TEST_CASE("A request that may run only once waits for those ahead of it, and those behind it wait",
    "[requestsahead]")
{
    TestEnvironment environment;
    addUpstreams(environment, { { "/safe/1", 300ms }, { "/unsafe/2", 300ms } });
    Edge::Service& vm = startReadyVm(environment);
    RawCaller caller(environment.context);
    connectAndSend(caller, vm,
        requestBytes("/safe/1") + requestBytes("/unsafe/2", "X-Deadline-Ms: 1000\r\n", "order")
            + requestBytes("/safe/3"));
    runFor(environment, 200ms);
    CHECK(ranCount(environment) == 1);
    REQUIRE(runUntilResponses(environment, caller, 1));
    runFor(environment, 150ms);
    CHECK(ranCount(environment) == 2);
    REQUIRE(runUntilResponses(environment, caller, 3));
    for (const RawResponse& response : responsesOf(caller)) {
        INFO(response.body);
        CHECK(response.status == 200);
    }
    CHECK(ranCount(environment) == 3);
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams) {
        for (const StandInSupport::HttpRequest& request : upstream->standIn.ran) {
            // The time that a request waits for its turn is taken off its deadline.
            if (request.path == "/unsafe/2")
                CHECK(std::stoul(request.headers.at("x-deadline-ms")) <= 720);
        }
    }
}

TEST_CASE(
    "A request that waits behind others is rejected as not run when its deadline passes", "[requestsahead]")
{
    TestEnvironment environment;
    addUpstreams(environment, { { "/safe/1", 600ms } });
    Edge::Service& vm = startReadyVm(environment);
    RawCaller caller(environment.context);
    connectAndSend(
        caller, vm, requestBytes("/safe/1") + requestBytes("/unsafe/2", "X-Deadline-Ms: 200\r\n", "order"));
    REQUIRE(runUntilResponses(environment, caller, 2));
    const std::vector<RawResponse> responses = responsesOf(caller);
    REQUIRE(responses.size() == 2);
    CHECK(responses[0].status == 200);
    CHECK(responses[1].status == 503);
    CHECK(ranCount(environment) == 1);
}

TEST_CASE("Nothing behind a response that closes the connection has run", "[requestsahead]")
{
    struct Row {
        const char* name;
        std::string bytes;
        std::vector<unsigned> statuses;
        std::size_t ran;
    };
    const std::vector<Row> rows {
        { "the caller asks for it",
            requestBytes("/safe/1", "Connection: close\r\n") + requestBytes("/safe/2"), { 200 }, 1 },
        { "the caller asks for it behind another request",
            requestBytes("/safe/1") + requestBytes("/safe/2", "Connection: close\r\n")
                + requestBytes("/safe/3"),
            { 200, 200 }, 2 },
        { "a malformed request",
            requestBytes("/safe/1") + "GET \x01 nonsense\r\n\r\n" + requestBytes("/safe/3"), { 200, 400 },
            1 },
        { "too large a body",
            requestBytes("/safe/1")
                + "POST /unsafe/2 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2000000\r\n\r\n",
            { 200, 413 }, 1 },
    };
    for (const Row& row : rows) {
        INFO(row.name);
        TestEnvironment environment;
        addUpstreams(environment, { { "/safe/1", 100ms } });
        Edge::Service& vm = startReadyVm(environment);
        RawCaller caller(environment.context);
        connectAndSend(caller, vm, row.bytes);
        REQUIRE(runUntil(environment, [&caller] { return caller.closed; }));
        const std::vector<RawResponse> responses = responsesOf(caller);
        std::vector<unsigned> statuses;
        statuses.reserve(responses.size());
        for (const RawResponse& response : responses)
            statuses.push_back(response.status);
        CHECK(statuses == row.statuses);
        for (std::size_t index = 0; index + 1 < responses.size(); ++index)
            CHECK(responses[index].keepAlive);
        CHECK_FALSE(responses.back().keepAlive);
        CHECK(ranCount(environment) == row.ran);
    }
}

TEST_CASE("A planned stop answers all requests that were sent ahead", "[requestsahead]")
{
    TestEnvironment environment;
    addUpstreams(environment);
    Edge::Service& vm = startReadyVm(environment);
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        upstream->standIn.work = 500ms;
    RawCaller caller(environment.context);
    connectAndSend(caller, vm,
        requestBytes("/safe/1") + requestBytes("/safe/2") + requestBytes("/unsafe/3", "", "order"));
    runFor(environment, 100ms);
    std::raise(SIGTERM);
    REQUIRE(runUntil(environment, [&caller] { return caller.closed; }));
    const std::vector<RawResponse> responses = responsesOf(caller);
    REQUIRE(responses.size() == 3);
    for (const RawResponse& response : responses) {
        INFO(response.body);
        CHECK(response.status == 200);
    }
    CHECK(responses[1].keepAlive);
    CHECK_FALSE(responses[2].keepAlive);
}

TEST_CASE("A failure or a second answer at one request reaches no other request's place", "[requestsahead]")
{
    TestEnvironment environment;
    addUpstreams(environment, { { "/safe/0", 300ms } });
    Edge::Service& vm = startReadyVm(environment);
    for (const std::unique_ptr<TestUpstream>& upstream : environment.upstreams)
        upstream->standIn.faults = environment.upstreams.front()->standIn.faults;
    RawCaller caller(environment.context);
    std::size_t sent = 0;
    for (int round = 0; round < 5; ++round) {
        StandInServer::ServerFaults& faults = *environment.upstreams.front()->standIn.faults;
        faults.extra = 4;
        faults.loseAnswer = 1;
        faults.refuse = 1;
        std::string all;
        for (int index = 0; index < 8; ++index)
            all += requestBytes("/safe/" + std::to_string(sent++));
        if (round == 0)
            connectAndSend(caller, vm, all);
        else
            sendBytes(caller, all);
        REQUIRE(runUntilResponses(environment, caller, sent));
    }
    const std::vector<RawResponse> responses = responsesOf(caller);
    REQUIRE(responses.size() == sent);
    for (std::size_t index = 0; index < sent; ++index) {
        if (responses[index].status == 200)
            CHECK(pathOf(responses[index]) == "/safe/" + std::to_string(index));
    }
}

TEST_CASE("A caller that takes no responses is read ahead only within bounds", "[requestsahead]")
{
    TestEnvironment environment;
    addUpstreams(environment, { { "/safe/0", 1000ms } });
    Edge::Service& vm = startReadyVm(environment);
    RawCaller caller(environment.context);
    std::string all;
    for (int index = 0; index < 200; ++index)
        all += requestBytes("/safe/" + std::to_string(index));
    connectAndSend(caller, vm, all);
    runFor(environment, 600ms);
    // All but the first have been answered, and their responses wait for their turn.
    CHECK(ranCount(environment) == 16);
    REQUIRE(runUntilResponses(environment, caller, 200));
    CHECK(responsesOf(caller).size() == 200);
}
