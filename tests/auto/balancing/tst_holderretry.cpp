#include <balancing/holderretry.h>

#include <catch2/catch.hpp>

using namespace Balancing;
using namespace std::chrono_literals;

TEST_CASE("A holder that rejected a request is asked again only where it has room", "[holderretry]")
{
    struct Row {
        const char* name;
        std::optional<Routing::ReportedLoad> load;
        Utils::Duration timeLeft;
        bool hasMoreUrgentRejections;
        bool hasAmpleBudget;
        bool worthwhile;
    };
    // A request takes 200 ms.
    const Row row = GENERATE(values<Row>({
        { "no report", std::nullopt, 1s, false, true, false },
        { "a slot is free", Routing::ReportedLoad { 2, 0, 4 }, 1s, false, true, true },
        { "nothing waits", Routing::ReportedLoad { 4, 0, 4 }, 1s, false, true, true },
        { "few wait", Routing::ReportedLoad { 4, 3, 4 }, 1s, false, true, true },
        { "the queue takes most of the time", Routing::ReportedLoad { 4, 12, 4 }, 1s, false, true, false },
        { "a long queue and enough time", Routing::ReportedLoad { 4, 12, 4 }, 2s, false, true, true },
        { "work takes three times as long", Routing::ReportedLoad { 4, 3, 4, 3.0 }, 1s, false, true, false },
        { "too late even without a queue", Routing::ReportedLoad { 2, 0, 4 }, 150ms, false, true, false },
        { "past its time", Routing::ReportedLoad { 2, 0, 4 }, -1s, false, true, false },
        { "urgent work, ample budget", Routing::ReportedLoad { 4, 0, 4 }, 1s, true, true, true },
        { "urgent work, short budget", Routing::ReportedLoad { 4, 0, 4 }, 1s, true, false, false },
        { "most urgent, short budget", Routing::ReportedLoad { 4, 0, 4 }, 1s, false, false, true },
        { "no slots reported", Routing::ReportedLoad { 0, 0, 0 }, 1s, false, true, true },
    }));
    INFO(row.name);
    HolderRejection rejection;
    rejection.reportedLoad = row.load;
    rejection.serviceTime = 200ms;
    rejection.unloadedLatency = 200ms;
    rejection.timeLeft = row.timeLeft;
    rejection.hasMoreUrgentRejections = row.hasMoreUrgentRejections;
    rejection.hasAmpleBudget = row.hasAmpleBudget;
    CHECK(isHolderRetryWorthwhile(rejection) == row.worthwhile);
}
