#include "rawcaller.h"
#include "scriptedupstream.h"

#include <edge/callpool.h>
#include <edge/metricspage.h>
#include <edge/responseframing.h>

#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/// Bytes of an upstream. "ID" stands for the lines that name the request and sign the response.
struct InvalidResponse {
    const char* name;
    std::string bytes;
    /// Empty if the parser finds the fault already.
    std::optional<Edge::ResponseFault> fault;
};

std::string withStatusLine(const std::string& line) { return line + "\r\nIDContent-Length: 4\r\n\r\nbody"; }

std::string repeated(const std::string& bytes, unsigned count)
{
    std::string all;
    for (unsigned number = 0; number < count; ++number)
        all += bytes;
    return all;
}

std::vector<InvalidResponse> invalidResponses()
{
    using Edge::ResponseFault;
    return {
        { "000", withStatusLine("HTTP/1.1 000 OK"), ResponseFault::StatusOutOfRange },
        { "007", withStatusLine("HTTP/1.1 007 OK"), ResponseFault::StatusOutOfRange },
        { "099", withStatusLine("HTTP/1.1 099 OK"), ResponseFault::StatusOutOfRange },
        { "600", withStatusLine("HTTP/1.1 600 OK"), ResponseFault::StatusOutOfRange },
        { "999", withStatusLine("HTTP/1.1 999 OK"), ResponseFault::StatusOutOfRange },
        { "999 with HTTP/1.0", withStatusLine("HTTP/1.0 999 OK"), ResponseFault::StatusOutOfRange },
        { "a switch of protocols", "HTTP/1.1 101 Switching\r\nIDUpgrade: other\r\n\r\n",
            ResponseFault::ProtocolSwitch },
        { "a switch of protocols, then a response",
            "HTTP/1.1 101 Switching\r\nIDUpgrade: other\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK"),
            ResponseFault::ProtocolSwitch },
        { "interim responses without end", repeated("HTTP/1.1 102 Processing\r\nID\r\n", 17),
            ResponseFault::ManyInterimResponses },
        { "two digits", withStatusLine("HTTP/1.1 20 OK"), std::nullopt },
        { "four digits", withStatusLine("HTTP/1.1 2000 OK"), std::nullopt },
        { "a sign", withStatusLine("HTTP/1.1 +20 OK"), std::nullopt },
        { "no space behind the status", withStatusLine("HTTP/1.1 200"), std::nullopt },
        { "no status", withStatusLine("HTTP/1.1 OK"), std::nullopt },
        { "version 0.9", withStatusLine("HTTP/0.9 200 OK"), std::nullopt },
        { "version 1.2", withStatusLine("HTTP/1.2 200 OK"), std::nullopt },
        { "version 2.0", withStatusLine("HTTP/2.0 200 OK"), std::nullopt },
        { "no minor version", withStatusLine("HTTP/2 200 OK"), std::nullopt },
        { "another protocol", withStatusLine("ICAP/1.0 200 OK"), std::nullopt },
        { "two status lines", withStatusLine("HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK"), std::nullopt },
        { "a body in place of the status line", "body\r\n\r\n", std::nullopt },
    };
}

/// Responses that are unusual and valid.
struct ValidResponse {
    const char* name;
    std::string bytes;
    unsigned status;
    std::string body;
};

std::vector<ValidResponse> validResponses()
{
    return {
        { "no reason", withStatusLine("HTTP/1.1 200 "), 200, "body" },
        { "HTTP/1.0", withStatusLine("HTTP/1.0 200 OK"), 200, "body" },
        { "an unknown status of a known class", withStatusLine("HTTP/1.1 299 Other"), 299, "body" },
        { "the last status", withStatusLine("HTTP/1.1 499 Other"), 499, "body" },
        { "interim responses",
            repeated("HTTP/1.1 102 Processing\r\nID\r\n", 16) + withStatusLine("HTTP/1.1 200 OK"), 200,
            "body" },
        { "204 with a body", withStatusLine("HTTP/1.1 204 No Content"), 204, "" },
        { "304 with a body", withStatusLine("HTTP/1.1 304 Not Modified"), 304, "" },
        { "205 with a body", withStatusLine("HTTP/1.1 205 Reset Content"), 205, "body" },
    };
}

std::string bytesFor(const std::string& script, const ScriptedSessionPtr& session)
{
    std::string bytes = script;
    const std::string fields
        = "X-Request-Id: " + std::string(session->request["X-Request-Id"]) + "\r\nX-Server-Stamp: stamp\r\n";
    for (std::size_t place = bytes.find("ID"); place != std::string::npos;
         place = bytes.find("ID", place + fields.size()))
        bytes.replace(place, 2, fields);
    return bytes;
}

/// Lets \a upstream answer each request with \a bytes and keep the connection open.
void answerWith(
    TestEnvironment& environment, ScriptedUpstream& upstream, const std::string& bytes, unsigned& requests)
{
    upstream.script = [&environment, bytes, &requests](const ScriptedSessionPtr& session) {
        ++requests;
        writeLater(environment, session, bytesFor(bytes, session), 0ms);
    };
}

CallerRequest makeRequest(bool unsafe)
{
    CallerRequest request;
    if (unsafe) {
        request.path = "/unsafe/1";
        request.method = http::verb::post;
        request.body = "order";
    }
    return request;
}

Edge::CallResponse callDirectly(TestEnvironment& environment, const ScriptedUpstream& upstream)
{
    Platform::HttpRequest request(http::verb::get, "/plain/1", 11);
    request.prepare_payload();
    std::optional<Edge::CallResponse> response;
    Edge::startCall(environment.callPool,
        { uniqueLoopbackAddress(91), upstream.acceptor.local_endpoint().port() }, std::move(request), 1s,
        [&response](Edge::CallResponse received) { response = std::move(received); });
    REQUIRE(runUntil(environment, [&response] { return response.has_value(); }));
    return *response;
}

} // namespace

TEST_CASE("An upstream's bytes that are no valid response are not delivered", "[invalidresponses]")
{
    const InvalidResponse row = GENERATE(from_range(invalidResponses()));
    const bool unsafe = GENERATE(false, true);
    INFO(row.name << (unsafe ? ", unsafe" : ""));
    TestEnvironment environment;
    unsigned requests = 0;
    ScriptedUpstream upstream(environment);
    answerWith(environment, upstream, row.bytes, requests);
    startScriptedUpstream(upstream, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    const CallerResponse response = sendRequest(environment, vm, makeRequest(unsafe));
    CHECK(response.outcome == Edge::CallOutcome::Responded);
    CHECK(response.status == 502);
    CHECK(response.serverStamp.empty());
    CHECK(response.elapsed < 1000ms);
    CHECK(requests == 1);
    CHECK(vm.node.traffic.upstreamConnections.empty());
    CHECK(vm.node.counters.attempts.count(Balancing::AttemptOutcome::MalformedResponse) == 1);
    if (row.fault) {
        CHECK(vm.node.counters.invalidResponses.count(*row.fault) == 1);
        CHECK(Edge::renderMetricsPage(vm.node).find("crocus_invalid_responses_total{fault=\""
                  + std::string(Utils::enumName(Edge::responseFaultNames, *row.fault)) + "\"} 1")
            != std::string::npos);
    }
}

TEST_CASE("A safe request gets its response elsewhere after an invalid one", "[invalidresponses]")
{
    const InvalidResponse row = GENERATE(from_range(invalidResponses()));
    const bool unsafe = GENERATE(false, true);
    INFO(row.name << (unsafe ? ", unsafe" : ""));
    TestEnvironment environment;
    unsigned requests = 0;
    ScriptedUpstream upstream(environment);
    answerWith(environment, upstream, row.bytes, requests);
    startScriptedUpstream(upstream, "i-1", "plain");
    addUpstream(environment, "i-2", "plain");
    Edge::Service& vm = startReadyVm(environment);
    for (unsigned sent = 0; sent < 6; ++sent) {
        const unsigned before = requests;
        const CallerResponse response = sendRequest(environment, vm, makeRequest(unsafe));
        CHECK(response.status == (unsafe && requests > before ? 502 : 200));
    }
    CHECK(requests >= 1);
}

TEST_CASE("Unusual responses that are valid are delivered", "[invalidresponses]")
{
    const ValidResponse row = GENERATE(from_range(validResponses()));
    INFO(row.name);
    TestEnvironment environment;
    unsigned requests = 0;
    ScriptedUpstream upstream(environment);
    answerWith(environment, upstream, row.bytes, requests);
    startScriptedUpstream(upstream, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    for (unsigned sent = 1; sent <= 3; ++sent) {
        RawCaller caller(environment.context);
        connectAndSend(caller, vm, requestBytes("/unsafe/1", "", "order"));
        runUntil(environment, [&caller] { return !responsesOf(caller).empty() || caller.closed; });
        const std::vector<RawResponse> responses = responsesOf(caller);
        REQUIRE(responses.size() == 1);
        CHECK(responses.front().status == row.status);
        CHECK(responses.front().body == row.body);
        CHECK(requests == sent);
    }
}

TEST_CASE("Invalid bytes are no response of another VM or the store", "[invalidresponses]")
{
    const InvalidResponse row = GENERATE(from_range(invalidResponses()));
    INFO(row.name);
    TestEnvironment environment;
    unsigned requests = 0;
    ScriptedUpstream peer(environment);
    answerWith(environment, peer, row.bytes, requests);
    startScriptedUpstream(peer, "i-1", "plain");
    CHECK(callDirectly(environment, peer).outcome == Edge::CallOutcome::NoValidResponse);
    CHECK(requests == 1);
    CHECK(environment.callPool.idleConnections.empty());
    if (row.fault)
        CHECK(environment.callPool.invalidResponses.count(*row.fault) == 1);
}
