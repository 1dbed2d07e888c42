#include "headfirstupstream.h"
#include "rawcaller.h"
#include "scriptedupstream.h"

#include <edge/callpool.h>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace EdgeTest;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

/// The part of a response that is sent before the connection ends. "ID" stands for the line of the request.
struct Cut {
    const char* name;
    const char* bytes;
    /// Whether only a reset shows that the response is incomplete.
    bool needsReset = false;
};

const Cut cuts[] = {
    { "nothing", "" },
    { "in the status line", "HTTP/1.1 20" },
    { "after the status line", "HTTP/1.1 200 OK\r\n" },
    { "in a field's name", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nContent-Le" },
    { "in a field's value", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: sta" },
    { "after a field line", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\n" },
    { "after the length", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nContent-Length: 0\r\n" },
    { "within the last line end", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nContent-Length: 0\r\n\r" },
    { "in the digits of the length", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nContent-Length: 1" },
    { "in the body", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nContent-Length: 10\r\n\r\nhalf" },
    { "before the body", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nContent-Length: 10\r\n\r\n" },
    { "in a chunk's size",
        "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n1" },
    { "in a chunk",
        "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf" },
    { "after a chunk",
        "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" },
    { "before the last chunk's end",
        "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\nTransfer-Encoding: "
        "chunked\r\n\r\n4\r\nhalf\r\n0\r\n" },
    { "body that ends with the connection", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\n\r\nhalf", true },
    { "empty body that ends with the connection", "HTTP/1.1 200 OK\r\nIDX-Server-Stamp: stamp\r\n\r\n",
        true },
};

struct Row {
    Cut cut;
    bool byReset;
    bool unsafe;
};

std::vector<Row> makeRows()
{
    std::vector<Row> rows;
    for (const Cut& cut : cuts) {
        for (const bool byReset : { false, true }) {
            for (const bool unsafe : { false, true }) {
                if (byReset || !cut.needsReset)
                    rows.push_back({ cut, byReset, unsafe });
            }
        }
    }
    return rows;
}

std::string bytesOf(const Cut& cut, const ScriptedSessionPtr& session)
{
    std::string bytes = cut.bytes;
    const std::size_t place = bytes.find("ID");
    if (place != std::string::npos)
        bytes.replace(place, 2, "X-Request-Id: " + std::string(session->request["X-Request-Id"]) + "\r\n");
    return bytes;
}

/// Sends what \a row says and ends the connection a little later.
ScriptedUpstream::Script makeScript(TestEnvironment& environment, const Row& row, unsigned& requests)
{
    return [&environment, row, &requests](const ScriptedSessionPtr& session) {
        ++requests;
        writeLater(environment, session, bytesOf(row.cut, session), 0ms);
        const std::shared_ptr<boost::asio::steady_timer> timer
            = std::make_shared<boost::asio::steady_timer>(environment.context, 30ms);
        timer->async_wait([session, timer, byReset = row.byReset](
                              const boost::system::error_code&) { closeSession(session, byReset); });
    };
}

/// How an upstream ends the connection on which it has responded without a length.
enum class EarlyEnd {
    /// It resets the connection while it is sent the request.
    Reset,
    /// It closes the connection with a part of the request unread, which resets it.
    ClosedUnread,
    /// It ends its response and reads the rest of the request.
    ReadsOn,
    /// It ends its response and closes the connection later, which resets it then.
    ClosedLater,
};

struct EarlyRow {
    const char* name;
    EarlyEnd end;
    bool isComplete;
};

/// Ends the response on \a session as \a end says.
void endEarly(TestEnvironment& environment, const HeadFirstSessionPtr& session, EarlyEnd end)
{
    boost::system::error_code ignored;
    switch (end) {
    case EarlyEnd::Reset:
        session->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        session->socket.close(ignored);
        break;
    case EarlyEnd::ClosedUnread:
        session->socket.close(ignored);
        break;
    case EarlyEnd::ReadsOn:
        session->socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
        readRestLater(environment, session, 0ms, [] {});
        break;
    case EarlyEnd::ClosedLater: {
        session->socket.shutdown(boost::asio::socket_base::shutdown_send, ignored);
        const std::shared_ptr<boost::asio::steady_timer> timer
            = std::make_shared<boost::asio::steady_timer>(environment.context, 100ms);
        timer->async_wait([session, timer](const boost::system::error_code&) {
            boost::system::error_code closeError;
            session->socket.close(closeError);
        });
        break;
    }
    }
}

/// Responds before the request has been read, and ends the response a little later.
HeadFirstUpstream::Script makeEarlyScript(TestEnvironment& environment, EarlyEnd end)
{
    return [&environment, end](const HeadFirstSessionPtr& session) {
        writeAll(session, responseHead(session, "Connection: close\r\n") + "part");
        const std::shared_ptr<boost::asio::steady_timer> timer
            = std::make_shared<boost::asio::steady_timer>(environment.context, 50ms);
        timer->async_wait([&environment, session, timer, end](
                              const boost::system::error_code&) { endEarly(environment, session, end); });
    };
}

constexpr std::size_t uploadBytes = 8000000;

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

} // namespace

TEST_CASE("No success is made of a response that an upstream broke off", "[brokenresponses]")
{
    const Row row = GENERATE(from_range(makeRows()));
    INFO(row.cut.name << (row.byReset ? ", reset" : ", closed") << (row.unsafe ? ", unsafe" : ""));
    TestEnvironment environment;
    unsigned requests = 0;
    ScriptedUpstream upstream(environment);
    upstream.script = makeScript(environment, row, requests);
    startScriptedUpstream(upstream, "i-1", "plain");
    Edge::Service& vm = startReadyVm(environment);
    const CallerResponse response = sendRequest(environment, vm, makeRequest(row.unsafe));
    CHECK(response.outcome == Edge::CallOutcome::Responded);
    CHECK(response.status == 502);
    CHECK(response.serverStamp.empty());
    CHECK(requests == 1);
}

TEST_CASE("No response is made of one that another VM broke off", "[brokenresponses]")
{
    const Row row = GENERATE(from_range(makeRows()));
    INFO(row.cut.name << (row.byReset ? ", reset" : ", closed") << (row.unsafe ? ", unsafe" : ""));
    TestEnvironment environment;
    unsigned requests = 0;
    ScriptedUpstream peer(environment);
    peer.script = makeScript(environment, row, requests);
    startScriptedUpstream(peer, "i-1", "plain");
    Platform::HttpRequest request(row.unsafe ? http::verb::post : http::verb::get, "/plain/1", 11);
    request.prepare_payload();
    std::optional<Edge::CallResponse> response;
    Edge::startCall(
        environment.callPool, { uniqueLoopbackAddress(91), peer.acceptor.local_endpoint().port() },
        std::move(request), 1s, [&response](Edge::CallResponse received) { response = std::move(received); },
        1 << 20, Edge::CallRepetition::Never);
    REQUIRE(runUntil(environment, [&response] { return response.has_value(); }));
    CHECK(response->outcome == Edge::CallOutcome::NoValidResponse);
    CHECK(requests == 1);
}

TEST_CASE(
    "No success is made of an early response that is reset while the request is sent", "[brokenresponses]")
{
    // Guards against parts of responses that count as complete: the write of the request took the error of
    // the reset, and the read saw an end.
    const EarlyRow row = GENERATE(values<EarlyRow>({
        { "reset", EarlyEnd::Reset, false },
        { "closed with a part unread", EarlyEnd::ClosedUnread, false },
        { "ended, the rest is read", EarlyEnd::ReadsOn, true },
        { "ended, closed later", EarlyEnd::ClosedLater, true },
    }));
    const bool unsafe = GENERATE(false, true);
    INFO(row.name << (unsafe ? ", unsafe" : ", safe"));
    TestEnvironment environment;
    environment.callerLimits.bodyBytes = uploadBytes;
    HeadFirstUpstream upstream(environment);
    upstream.script = makeEarlyScript(environment, row.end);
    startHeadFirstUpstream(upstream, "i-1");
    Edge::Service& vm = startReadyVm(environment);
    CallerRequest request;
    request.path = unsafe ? "/unsafe/1" : "/safe/1";
    request.method = http::verb::post;
    request.body = std::string(uploadBytes, 'x');
    const CallerResponse response = sendRequest(environment, vm, request);
    CHECK(response.status == (row.isComplete ? 200 : 502));
    CHECK((response.body == "part") == row.isComplete);
    CHECK(response.serverStamp.empty() != row.isComplete);
}

TEST_CASE("No response is made of another VM's early one that is reset while the request is sent",
    "[brokenresponses]")
{
    const EarlyEnd end = GENERATE(EarlyEnd::Reset, EarlyEnd::ClosedUnread);
    TestEnvironment environment;
    HeadFirstUpstream peer(environment);
    peer.script = makeEarlyScript(environment, end);
    startHeadFirstUpstream(peer, "i-1");
    Platform::HttpRequest request(http::verb::post, "/plain/1", 11);
    request.body() = std::string(uploadBytes, 'x');
    request.prepare_payload();
    std::optional<Edge::CallResponse> response;
    Edge::startCall(
        environment.callPool, endpointOf(peer), std::move(request), 2s,
        [&response](Edge::CallResponse received) { response = std::move(received); }, 1 << 20,
        Edge::CallRepetition::Never);
    REQUIRE(runUntil(environment, [&response] { return response.has_value(); }));
    CHECK(response->outcome == Edge::CallOutcome::NoValidResponse);
}
