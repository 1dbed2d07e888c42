#include <platform/headers.h>

#include <catch2/catch.hpp>

using namespace Platform;
using namespace std::chrono_literals;

TEST_CASE("The headers of a caller are read, malformed numbers are ignored", "[headers]")
{
    struct Row {
        const char* deadline;
        std::optional<Utils::Duration> time;
        const char* key;
        std::optional<std::uint16_t> number;
    };
    const Row row = GENERATE(values<Row>({
        { "1500", 1500ms, "0", 0 },
        { "1500.5", 1500500us, "65535", 65535 },
        { "0", 0ms, "65536", std::nullopt },
        { "-1", std::nullopt, "-1", std::nullopt },
        { "soon", std::nullopt, "x", std::nullopt },
        { "", std::nullopt, "", std::nullopt },
    }));
    HttpFields fields;
    fields.set("X-Request-Id", "abc");
    fields.set("X-Deadline-Ms", row.deadline);
    fields.set("X-Shard-Key", row.key);
    const CallerHeaders callerHeaders = parseCallerHeaders(fields);
    CHECK(callerHeaders.requestId.value == "abc");
    CHECK(callerHeaders.timeout == row.time);
    CHECK(callerHeaders.key == row.number);
}

TEST_CASE("The headers of a server's response are read", "[headers]")
{
    HttpFields fields;
    fields.set("X-Request-Id", "abc");
    fields.set("X-Server-Load", "3,1,8");
    fields.set("Keep-Alive", "timeout=10, max=5");
    fields.set("X-Server-Stamp", "stamp");
    fields.set("X-Handover", "h");
    fields.set("X-Instance-Id", "i-7");
    const ServerHeaders serverHeaders = parseServerHeaders(200, fields);
    CHECK(serverHeaders.requestId.value == "abc");
    CHECK(serverHeaders.load == Routing::ReportedLoad { 3, 1, 8 });
    CHECK(serverHeaders.keepAliveTimeout == Utils::Duration(10s));
    CHECK(serverHeaders.isStamped);
    CHECK(serverHeaders.handover == "h");
    CHECK(serverHeaders.server.value == "i-7");
    CHECK_FALSE(serverHeaders.notRun);
}

TEST_CASE("A load report has three or four figures", "[headers]")
{
    struct Row {
        const char* text;
        std::optional<Routing::ReportedLoad> load;
        std::optional<DecodeError> error;
    };
    const Row row = GENERATE(values<Row>({
        { nullptr, std::nullopt, std::nullopt },
        { "3,1,8", Routing::ReportedLoad { 3, 1, 8 }, std::nullopt },
        { "3,0,8,100", Routing::ReportedLoad { 3, 0, 8, 1.0 }, std::nullopt },
        { "4,16,4,312.5", Routing::ReportedLoad { 4, 16, 4, 3.125 }, std::nullopt },
        { "3,1", std::nullopt, DecodeError::Unreadable },
        { "3,1,8,", std::nullopt, DecodeError::Unreadable },
        { "3,1,8,0", std::nullopt, DecodeError::OutOfRange },
        { "3,1,8,-100", std::nullopt, DecodeError::OutOfRange },
        { "3,1,8,nan", std::nullopt, DecodeError::OutOfRange },
        { "3,1,8,inf", std::nullopt, DecodeError::OutOfRange },
        { "3,1,8,100,1", std::nullopt, DecodeError::Unreadable },
        { "3,-1,8,100", std::nullopt, DecodeError::Unreadable },
        { "3,1,x,100", std::nullopt, DecodeError::Unreadable },
        { "", std::nullopt, DecodeError::Unreadable },
    }));
    INFO((row.text ? row.text : "absent"));
    HttpFields fields;
    if (row.text)
        fields.set("X-Server-Load", row.text);
    CHECK(parseServerHeaders(200, fields).load == row.load);
    CHECK(parseServerHeaders(200, fields).loadError == row.error);
}

TEST_CASE("The remaining cold time that a server states is read, or why it can't be used", "[headers]")
{
    struct Row {
        const char* text;
        std::optional<Utils::Duration> time;
        std::optional<DecodeError> error;
    };
    const Row row = GENERATE(values<Row>({
        { nullptr, std::nullopt, std::nullopt },
        { "0", 0ms, std::nullopt },
        { "2500", 2500ms, std::nullopt },
        { "0.5", Utils::Duration(500us), std::nullopt },
        { "-1", std::nullopt, DecodeError::OutOfRange },
        { "nan", std::nullopt, DecodeError::OutOfRange },
        { "1e12", std::nullopt, DecodeError::OutOfRange },
        { "", std::nullopt, DecodeError::Unreadable },
        { "2500ms", std::nullopt, DecodeError::Unreadable },
    }));
    INFO((row.text ? row.text : "absent"));
    HttpFields fields;
    if (row.text)
        fields.set("X-Cold-Ms", row.text);
    CHECK(parseServerHeaders(200, fields).remainingColdTime == row.time);
    CHECK(parseServerHeaders(200, fields).coldTimeError == row.error);
}

TEST_CASE("Only status 421 and the header X-Not-Executed say that a request was not executed", "[headers]")
{
    struct Row {
        unsigned status;
        bool header;
        bool notRun;
    };
    const Row row = GENERATE(values<Row>({
        { 200, false, false },
        { 503, false, false },
        { 503, true, true },
        { 429, true, true },
        { 400, true, true },
        { 421, false, true },
        { 500, false, false },
        { 504, false, false },
    }));
    HttpFields fields;
    if (row.header)
        fields.set("X-Not-Executed", "1");
    CHECK(parseServerHeaders(row.status, fields).notRun == row.notRun);
}

TEST_CASE("Malformed load headers are ignored", "[headers]")
{
    const std::string text = GENERATE("", "3", "3,1", "3,1,", "a,b,c", "3,1,8,9,9", "3,1,8,x", "-1,0,2");
    HttpFields fields;
    fields.set("X-Server-Load", text);
    CHECK_FALSE(parseServerHeaders(200, fields).load);
}

TEST_CASE("Hop-by-hop fields are not forwarded", "[headers]")
{
    HttpFields fields;
    fields.set("Connection", "close, X-Mine");
    fields.set("X-Mine", "1");
    fields.set("Keep-Alive", "timeout=5");
    fields.set("Transfer-Encoding", "chunked");
    fields.set("TE", "trailers");
    fields.set("X-Expect-Instance", "from the caller");
    fields.set("X-Other", "stays");
    removeHopByHopFields(fields);
    CHECK(std::distance(fields.begin(), fields.end()) == 1);
    CHECK(fields["X-Other"] == "stays");
}

TEST_CASE("A forwarded request names the expected server and the remaining time", "[headers]")
{
    HttpFields fields;
    fields.set("X-Deadline-Ms", "2500");
    setForwardingHeaders(fields, { "i-1" }, 731ms);
    CHECK(fields["X-Expect-Instance"] == "i-1");
    CHECK(fields["X-Deadline-Ms"] == "731");
    setForwardingHeaders(fields, { "i-1" }, -5ms);
    CHECK(fields["X-Deadline-Ms"] == "1");
}

TEST_CASE("The limit that a server names is read, or why it can't be used", "[headers]")
{
    struct LimitRow {
        const char* text;
        std::optional<double> limit;
        std::optional<DecodeError> error;
    };
    const LimitRow row = GENERATE(values<LimitRow>({
        { nullptr, std::nullopt, std::nullopt },
        { "1.5", 1.5, std::nullopt },
        { "20", 20.0, std::nullopt },
        { "0", 0.0, std::nullopt },
        { "0.05", 0.05, std::nullopt },
        { "1e9", 1e9, std::nullopt },
        { "", std::nullopt, DecodeError::Unreadable },
        { "few", std::nullopt, DecodeError::Unreadable },
        { "1.5/s", std::nullopt, DecodeError::Unreadable },
        { "1,5", std::nullopt, DecodeError::Unreadable },
        { "1e999", std::nullopt, DecodeError::Unreadable },
        { "-1", std::nullopt, DecodeError::OutOfRange },
        { "inf", std::nullopt, DecodeError::OutOfRange },
        { "nan", std::nullopt, DecodeError::OutOfRange },
    }));
    INFO((row.text ? row.text : "absent"));
    HttpFields fields;
    if (row.text)
        fields.set("Server-Limit", row.text);
    const ServerHeaders serverHeaders = parseServerHeaders(200, fields);
    CHECK(serverHeaders.requestLimit == row.limit);
    CHECK(serverHeaders.requestLimitError == row.error);
}

TEST_CASE("A server says that it is leaving with the header Server-Leaving: 1 only", "[headers]")
{
    struct Row {
        const char* text;
        bool leaving;
    };
    const Row row = GENERATE(values<Row>({ { nullptr, false }, { "1", true }, { "0", false }, { "", false },
        { "true", false }, { "11", false } }));
    HttpFields fields;
    if (row.text)
        fields.set("Server-Leaving", row.text);
    CHECK(parseServerHeaders(200, fields).isLeaving == row.leaving);
    CHECK(parseServerHeaders(503, fields).isLeaving == row.leaving);
}

TEST_CASE("The pause that a server names is read from responses with status 503", "[headers]")
{
    struct Row {
        const char* text;
        std::optional<Utils::Duration> pause;
        std::optional<DecodeError> error;
    };
    const Row row = GENERATE(values<Row>({
        { nullptr, std::nullopt, std::nullopt },
        { "3", 3s, std::nullopt },
        { "0.25", 250ms, std::nullopt },
        { "0", 0s, std::nullopt },
        { "7200", 7200s, std::nullopt },
        { "1e300", Utils::Duration(1000000000s), std::nullopt },
        { "-1", std::nullopt, DecodeError::OutOfRange },
        { "nan", std::nullopt, DecodeError::OutOfRange },
        { "inf", std::nullopt, DecodeError::OutOfRange },
        { "soon", std::nullopt, DecodeError::Unreadable },
        { "Fri, 31 Dec 1999 23:59:59 GMT", std::nullopt, DecodeError::Unreadable },
    }));
    INFO((row.text ? row.text : "absent"));
    HttpFields fields;
    if (row.text)
        fields.set("Retry-After", row.text);
    const ServerHeaders serverHeaders = parseServerHeaders(503, fields);
    CHECK(serverHeaders.pause == row.pause);
    CHECK(serverHeaders.pauseError == row.error);
    for (const unsigned status : { 200U, 429U, 500U }) {
        CHECK_FALSE(parseServerHeaders(status, fields).pause);
        CHECK_FALSE(parseServerHeaders(status, fields).pauseError);
    }
}
