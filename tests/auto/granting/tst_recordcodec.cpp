#include <granting/recordcodec.h>
#include <granting/recorderror.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

using namespace Granting;

namespace {

template <typename Decode> std::optional<RecordError> findError(Decode decode)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<RecordError>> {
            BOOST_LEAF_CHECK(decode());
            return std::optional<RecordError>();
        },
        [](RecordError error) { return std::optional<RecordError>(error); },
        []() { return std::optional<RecordError>(RecordError::Unreadable); });
}

KeyAssignment assignment()
{
    return { { "s" }, 3, 7,
        { { { 0, 99 }, { "one" }, true, 12, {} },
            { { 100, 65535 }, { "two" }, false, 0, { { "one" }, { "x" } } } } };
}

} // namespace

TEST_CASE("Records are decoded as they were encoded", "[recordcodec]")
{
    CHECK(decodeAssignment(encodeAssignment(assignment())).value() == assignment());
    const LeaderRecord leader { { "a" }, 17, { "10.0.0.1", 7000 } };
    CHECK(decodeLeader(encodeLeader(leader)).value() == leader);
    CHECK(decodeLeader(encodeLeader({})).value() == LeaderRecord {});
    LeaderRecord large { { "a" }, 7, { "10.0.0.1", 7000 }, 2 };
    large.vmCount = 295;
    large.relays = { "10.0.0.2", "10.0.0.3" };
    CHECK(decodeLeader(encodeLeader(large)).value() == large);
    // Records of former builds lack the last fields.
    CHECK(
        decodeLeader(R"({"vm":"a","incarnation":7,"address":"10.0.0.1","port":7000,"settled_era":2})").value()
        == LeaderRecord { { "a" }, 7, { "10.0.0.1", 7000 }, 2 });
}

TEST_CASE("Segments that do not cover every key exactly once are rejected", "[recordcodec]")
{
    struct Row {
        const char* name;
        Routing::KeySpan first;
        Routing::KeySpan second;
    };
    const Row row = GENERATE(values<Row>({
        { "gap", { 0, 98 }, { 100, 65535 } },
        { "overlap", { 0, 100 }, { 100, 65535 } },
        { "no start", { 1, 99 }, { 100, 65535 } },
        { "no end", { 0, 99 }, { 100, 65534 } },
        { "out of order", { 100, 65535 }, { 0, 99 } },
    }));
    INFO(row.name);
    KeyAssignment record = assignment();
    record.segments[0].span = row.first;
    record.segments[1].span = row.second;
    CHECK(findError([&] { return decodeAssignment(encodeAssignment(record)); }) == RecordError::Inconsistent);
}

TEST_CASE("Malformed records are rejected", "[recordcodec]")
{
    const std::string text
        = GENERATE("", "[]", "{}", R"({"service":"s","term":-1,"version":1,"segments":[]})",
            R"({"service":"s","term":1,"version":1,"segments":[7]})",
            R"({"service":7,"term":1,"version":1,"segments":[]})");
    CHECK(findError([&] { return decodeAssignment(text); }) == RecordError::Unreadable);
    CHECK(findError([&] { return decodeLeader(text); }) == RecordError::Unreadable);
}
