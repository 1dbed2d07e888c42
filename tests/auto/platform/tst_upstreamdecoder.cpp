#include "decodeoutcome.h"

#include <platform/upstreamdecoder.h>

#include <catch2/catch.hpp>

using namespace Platform;
using namespace std::chrono_literals;

namespace {

const std::string validRecord
    = R"({"address":"10.128.0.9:8080","info":{"service":"s1","version":"v1","zone":"z1","slots":2},)"
      R"("status":{"state":"ready","seq_no":4,"cold_left":"1500ms"},"born":1785945395038})";

std::string replaced(const std::string& part, const std::string& by)
{
    std::string text = validRecord;
    text.replace(text.find(part), part.size(), by);
    return text;
}

} // namespace

TEST_CASE("A complete record of a server is decoded", "[upstreamdecoder]")
{
    const Routing::UpstreamRecord record = decodeUpstream("i-1", validRecord).value();
    CHECK(record.id.value == "i-1");
    CHECK(record.endpoint == Routing::Endpoint { "10.128.0.9", 8080 });
    CHECK(record.service.value == "s1");
    CHECK(record.zone.value == "z1");
    CHECK(record.slots == 2);
    CHECK_FALSE(record.draining);
    CHECK(record.sequence == 4);
    CHECK(record.remainingColdTime == 1500ms);
    CHECK(record.startTimeMs == 1785945395038);
}

TEST_CASE("Unknown fields are ignored, malformed records are rejected", "[upstreamdecoder]")
{
    struct Row {
        const char* name;
        std::string text;
        std::optional<DecodeError> error;
    };
    const Row row = GENERATE(values<Row>({
        { "draining", replaced("\"ready\"", "\"draining\""), std::nullopt },
        { "a field more", replaced("\"born\"", "\"more\":[1],\"born\""), std::nullopt },
        { "no birth", replaced(",\"born\":1785945395038", ""), std::nullopt },
        { "unknown state", replaced("\"ready\"", "\"resting\""), DecodeError::UnknownValue },
        { "state as number", replaced("\"ready\"", "1"), DecodeError::WrongType },
        { "no address", replaced("\"address\"", "\"addr\""), DecodeError::MissingField },
        { "address is a name", replaced("10.128.0.9:8080", "host:80"), DecodeError::OutOfRange },
        { "address without a port", replaced("10.128.0.9:8080", "10.128.0.9"), DecodeError::OutOfRange },
        { "port 0", replaced("10.128.0.9:8080", "10.128.0.9:0"), DecodeError::OutOfRange },
        { "no slots", replaced("\"slots\":2", "\"slots\":0"), DecodeError::OutOfRange },
        { "slots below 0", replaced("\"slots\":2", "\"slots\":-2"), DecodeError::OutOfRange },
        { "sequence as text", replaced("\"seq_no\":4", "\"seq_no\":\"4\""), DecodeError::WrongType },
        { "empty service", replaced("\"s1\"", "\"\""), DecodeError::OutOfRange },
        { "birth as text", replaced("1785945395038", "\"now\""), DecodeError::WrongType },
        { "info as list",
            replaced("{\"service\":\"s1\",\"version\":\"v1\",\"zone\":\"z1\",\"slots\":2}", "[]"),
            DecodeError::WrongType },
        { "list", "[]", DecodeError::Unreadable },
        { "nothing", "", DecodeError::Unreadable },
        { "bytes", std::string("\xff\x00\x17", 3), DecodeError::Unreadable },
    }));
    INFO(row.name);
    CHECK(PlatformTest::decodeErrorOf([&] { return decodeUpstream("i-1", row.text); }) == row.error);
}
