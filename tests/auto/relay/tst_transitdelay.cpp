#include <relay/transitdelay.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace std::chrono_literals;

TEST_CASE("The time of updates on their way is counted beyond that of the fastest one", "[transitdelay]")
{
    struct Row {
        const char* name;
        /// Difference of the clocks of receiver and sender.
        Utils::Duration clockDifference;
        std::vector<std::chrono::milliseconds> transits;
        std::vector<std::chrono::milliseconds> delays;
    };
    const Row row = GENERATE(values<Row>({
        { "no update waits", 5s, { 20ms, 20ms }, { 0ms, 0ms } },
        { "the queue grows", 0s, { 20ms, 320ms, 1520ms }, { 0ms, 300ms, 1500ms } },
        { "the sender's clock is ahead", -900s, { 20ms, 320ms }, { 0ms, 300ms } },
        { "the first update waits", 5s, { 1020ms, 520ms, 20ms, 70ms }, { 0ms, 0ms, 0ms, 50ms } },
    }));
    INFO(row.name);
    Relay::TransitClock clock;
    Utils::Instant sentAt { 1000s };
    for (std::size_t index = 0; index < row.transits.size(); ++index) {
        sentAt += 300ms;
        CHECK(Relay::recordTransit(clock, sentAt, sentAt + row.clockDifference + row.transits[index])
            == row.delays[index]);
    }
}
