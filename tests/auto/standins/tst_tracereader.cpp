#include <standins/caller/schedule.h>
#include <standins/caller/tracereader.h>

#include <boost/leaf/handle_errors.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace {

using StandInCaller::PlannedRequest;
using StandInCaller::TraceError;

struct TraceCase {
    std::string name;
    std::string text;
    std::size_t requests;
    std::optional<TraceError> error;
    std::size_t line;
};

const std::vector<TraceCase> traceCases {
    { "empty", "", 0, std::nullopt, 0 },
    { "one request",
        R"({"at_ms":1.5,"method":"GET","path":"/stock/k","rank":"urgent","caller":"c","size":9})", 1,
        std::nullopt, 0 },
    { "events and blank lines are passed over",
        "{\"event\":\"kill\",\"at_ms\":3}\n\n{\"at_ms\":1,\"method\":\"GET\",\"path\":\"/s/k\"}\n", 1,
        std::nullopt, 0 },
    { "not JSON", "{\"event\":\"x\"}\n{\"at_ms\":", 0, TraceError::NotAnObject, 2 },
    { "not an object", "[]", 0, TraceError::NotAnObject, 1 },
    { "no path", R"({"at_ms":1,"method":"GET"})", 0, TraceError::MissingField, 1 },
    { "no time", R"({"method":"GET","path":"/s/k"})", 0, TraceError::MissingField, 1 },
    { "out of order",
        "{\"at_ms\":2,\"method\":\"GET\",\"path\":\"/s/k\"}\n{\"at_ms\":1,\"method\":\"GET\",\"path\":\"/s/"
        "k\"}",
        0, TraceError::OutOfOrder, 2 },
};

} // namespace

TEST_CASE("a trace is read or its fault named with the line", "[tracereader]")
{
    const TraceCase row = GENERATE(from_range(traceCases));
    INFO(row.name);
    std::istringstream text(row.text);
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(const std::vector<PlannedRequest> requests,
                StandInCaller::readTrace(text, std::chrono::milliseconds(100)));
            CHECK_FALSE(row.error.has_value());
            CHECK(requests.size() == row.requests);
            return {};
        },
        [&](TraceError error, StandInCaller::TraceLine line) {
            CHECK(row.error == error);
            CHECK(row.line == line.number);
        },
        [] { FAIL("an error of another type"); });
}

TEST_CASE("a trace line gives all that it names", "[tracereader]")
{
    std::istringstream text(traceCases[1].text);
    const boost::leaf::result<std::vector<PlannedRequest>> requests
        = StandInCaller::readTrace(text, std::chrono::milliseconds(100));
    PlannedRequest expected;
    expected.due = std::chrono::microseconds(1500);
    expected.target = "/stock/k";
    expected.rank = "urgent";
    expected.caller = "c";
    expected.bytes = 9;
    expected.timeout = std::chrono::milliseconds(100);
    REQUIRE(requests.value() == std::vector<PlannedRequest> { expected });
}

TEST_CASE("the schedule follows from its seed", "[tracereader]")
{
    StandInCaller::CallerOptions options;
    options.rate = 500;
    options.length = std::chrono::seconds(4);
    options.zipfExponent = 1.1;
    options.mix = StandInCaller::mixFrom("urgent:GET:stock:3,normal:POST:orders:1:100:900").value();
    const std::vector<PlannedRequest> planned = planRequests(options);
    REQUIRE(planned == planRequests(options));
    REQUIRE(planned.size() > 1'700);
    REQUIRE(planned.size() < 2'300);
    options.seed = 2;
    REQUIRE_FALSE(planned == planRequests(options));
}
