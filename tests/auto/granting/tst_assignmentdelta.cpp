#include <granting/assignmentdelta.h>
#include <granting/recorderror.h>

#include <boost/leaf.hpp>
#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace Granting;

namespace {

/// Returns an assignment with random segments that cover all keys.
KeyAssignment randomAssignment(std::mt19937_64& random, std::uint64_t version)
{
    KeyAssignment assignment { { "s" }, 3, version, {} };
    std::uint32_t first = 0;
    while (first <= UINT16_MAX) {
        const std::uint32_t last = std::min<std::uint32_t>(first + random() % 9000, UINT16_MAX);
        Segment segment;
        segment.span = { static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(last) };
        segment.holder = { std::to_string(random() % 3) };
        segment.isConfirmed = random() % 2 == 0;
        assignment.segments.push_back(segment);
        first = last + 1;
    }
    return assignment;
}

} // namespace

TEST_CASE("A delta applies to its base only and gives the next version", "[assignmentdelta]")
{
    std::mt19937_64 random(7);
    for (std::uint64_t version = 1; version < 300; ++version) {
        const KeyAssignment base = randomAssignment(random, version);
        const KeyAssignment next = randomAssignment(random, version + 1);
        const AssignmentDelta delta = decodeDelta(encodeDelta(computeDelta(base, next))).value();
        CHECK(applyDelta(base, delta) == next);
        KeyAssignment other = base;
        other.version += 1;
        CHECK_FALSE(applyDelta(other, delta));
    }
}

TEST_CASE("A delta contains only changed segments", "[assignmentdelta]")
{
    std::mt19937_64 random(7);
    const KeyAssignment base = randomAssignment(random, 1);
    KeyAssignment next = base;
    next.version = 2;
    CHECK(computeDelta(base, next).segments.empty());
    next.segments[2].isConfirmed = !next.segments[2].isConfirmed;
    CHECK(computeDelta(base, next).segments.size() == 1);
}

TEST_CASE("A malformed delta is rejected", "[assignmentdelta]")
{
    const std::string text = GENERATE(
        "", "{}", "[]", "[\"s\",1,2,3,4]", "[\"s\",1,2,3,4,[7]]", "[\"s\",1,2,3,4,[[0,70000,\"a\",true]]]");
    const bool failed = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(decodeDelta(text));
            return false;
        },
        []() { return true; });
    CHECK(failed);
}

TEST_CASE("A delta names the previous holders, as a VM may lead next with nothing but relayed assignments",
    "[assignmentdelta]")
{
    struct Row {
        const char* name;
        std::vector<Utils::UpstreamId> before;
        std::vector<Utils::UpstreamId> after;
    };
    const Row row = GENERATE(values<Row>({
        { "none", {}, {} },
        { "the keys have moved", {}, { { "a" } } },
        { "another one", { { "a" } }, { { "a" }, { "c" } } },
        { "all have released the keys", { { "a" } }, {} },
    }));
    INFO(row.name);
    const KeyAssignment base { { "s" }, 3, 1, { { { 0, UINT16_MAX }, { "b" }, false, 0, row.before } } };
    const KeyAssignment next { { "s" }, 3, 2, { { { 0, UINT16_MAX }, { "b" }, false, 0, row.after } } };
    const AssignmentDelta delta = decodeDelta(encodeDelta(computeDelta(base, next))).value();
    CHECK(applyDelta(base, delta) == next);
}
