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
    "A request is admitted if it can meet its target latency or a later retry would not help", "[admission]")
{
    // expected and unloaded latency, time to the target, time left, is a caller retry, seed
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
    const AdmissionDecision decision = admit(row.facts);
    CHECK(decision.admitted == row.admitted);
}

TEST_CASE(
    "Retry delays of rejected requests are spread and at most a third of the remaining time", "[admission]")
{
    Utils::Duration earliest = 1h;
    Utils::Duration latest {};
    for (std::uint64_t seed = 0; seed < 4096; seed += 7) {
        const AdmissionDecision decision = admit({ 900ms, 160ms, 600ms, 2400ms, false, seed });
        REQUIRE_FALSE(decision.admitted);
        earliest = std::min(earliest, decision.retryAfter);
        latest = std::max(latest, decision.retryAfter);
    }
    CHECK(earliest >= 50ms);
    CHECK(latest <= 2400ms / 3);
    CHECK(latest - earliest > 40ms);
}
