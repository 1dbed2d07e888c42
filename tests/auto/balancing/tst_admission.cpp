#include <balancing/admission.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

namespace {

struct Row {
    const char* name;
    AdmissionContext facts;
    bool admitted;
};

} // namespace

TEST_CASE(
    "A request is admitted if it can be on time, or has nothing to gain from coming back", "[admission]")
{
    // expected, unloaded, to the target, left, came back
    const Row row = GENERATE(values<Row>({
        { "on time", { 500ms, 160ms, 600ms, 1200ms, false, 0 }, true },
        { "late, can come back", { 700ms, 160ms, 600ms, 1200ms, false, 0 }, false },
        { "late, has come back", { 700ms, 160ms, 600ms, 1200ms, true, 0 }, true },
        { "late, no time to come back", { 350ms, 300ms, 200ms, 360ms, false, 0 }, true },
        { "cannot be answered", { 1300ms, 160ms, 600ms, 1200ms, false, 0 }, false },
        { "cannot be answered, has come back", { 1300ms, 160ms, 600ms, 1200ms, true, 0 }, false },
        { "target already past, has come back", { 200ms, 160ms, -100ms, 500ms, true, 0 }, true },
    }));
    INFO(row.name);
    const AdmissionDecision verdict = admit(row.facts);
    CHECK(verdict.admitted == row.admitted);
}

TEST_CASE("Those turned away come back spread over time, and within the third of it that callers wait",
    "[admission]")
{
    Utils::Duration earliest = 1h;
    Utils::Duration latest {};
    for (std::uint64_t seed = 0; seed < 4096; seed += 7) {
        const AdmissionDecision verdict = admit({ 900ms, 160ms, 600ms, 2400ms, false, seed });
        REQUIRE_FALSE(verdict.admitted);
        earliest = std::min(earliest, verdict.retryAfter);
        latest = std::max(latest, verdict.retryAfter);
    }
    CHECK(earliest >= 50ms);
    CHECK(latest <= 2400ms / 3);
    CHECK(latest - earliest > 40ms);
}
