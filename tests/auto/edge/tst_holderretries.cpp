#include "scriptedupstream.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace EdgeTest;
using namespace std::chrono_literals;

namespace {

/// Served before the rejections, so that the budget allows some retries.
constexpr unsigned servedRequests = 30;

std::string idField(const ScriptedSessionPtr& session)
{
    return "X-Request-Id: " + std::string(session->request["X-Request-Id"]) + "\r\n";
}

/// A holder of all keys that rejects requests.
struct SheddingHolder {
    explicit SheddingHolder(TestEnvironment& environment)
        : upstream(environment)
    {
        this->upstream.script = [this, &environment](const ScriptedSessionPtr& session) {
            ++this->arrivals;
            const bool rejects = this->rejections > 0;
            this->rejections -= rejects ? 1 : 0;
            const std::string response = rejects
                ? "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + this->loadField
                : "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\n";
            writeLater(environment, session, response + idField(session) + "Content-Length: 0\r\n\r\n", 5ms);
        };
    }

    ScriptedUpstream upstream;
    unsigned rejections = 0;
    /// Comes with rejections.
    std::string loadField;
    unsigned arrivals = 0;
};

} // namespace

TEST_CASE("A holder that rejects a request although it has room is asked again", "[holderretries]")
{
    struct Row {
        const char* name;
        const char* loadField;
        unsigned rejections;
        unsigned status;
        unsigned arrivals;
        std::uint64_t unreadable;
    };
    const Row row = GENERATE(values<Row>({
        { "room", "X-Server-Load: 1,0,2\r\n", 1, 200, 2, 0 },
        { "room on a busy machine", "X-Server-Load: 2,1,2,150\r\n", 1, 200, 2, 0 },
        { "a full queue", "X-Server-Load: 2,400,2\r\n", 1, 503, 1, 0 },
        { "no report", "", 1, 503, 1, 0 },
        { "a report that can't be read", "X-Server-Load: 1,0,2,fast\r\n", 1, 503, 1, 1 },
        { "rejected up to the attempts of the route", "X-Server-Load: 1,0,2\r\n", 9, 503, 3, 0 },
    }));
    INFO(row.name);
    TestEnvironment environment;
    SheddingHolder holder(environment);
    startScriptedUpstream(holder.upstream, "i-1", "keyed");
    Edge::Service& vm = startReadyVm(environment);
    REQUIRE(runUntil(environment, [&holder] { return holder.upstream.grants > 0; }));
    runFor(environment, 50ms);
    CallerRequest request;
    request.path = "/key/1";
    request.key = 7;
    for (unsigned served = 0; served < servedRequests; ++served)
        REQUIRE(sendRequest(environment, vm, request).status == 200);
    holder.arrivals = 0;
    holder.rejections = row.rejections;
    holder.loadField = row.loadField;
    const CallerResponse response = sendRequest(environment, vm, request);
    CHECK(response.status == row.status);
    CHECK(holder.arrivals == row.arrivals);
    CHECK(vm.node.counters.holderRetries == row.arrivals - 1);
    CHECK(vm.node.counters.unreadableSelfReports == row.unreadable);
    if (row.status == 503)
        CHECK(std::stod(response.retryAfter) <= 1);
}
