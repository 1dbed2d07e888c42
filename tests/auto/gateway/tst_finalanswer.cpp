#include <gateway/finalanswer.h>

#include <catch2/catch.hpp>

namespace {

using Requests::Outcome;
using Requests::Reason;

struct Row {
    Gateway::FinalAnswer answer;
    unsigned status;
};

const std::vector<Row> rows {
    { { Outcome::NotRun, Reason::BadRequest, {} }, 400 },
    { { Outcome::NotRun, Reason::UnknownService, {} }, 404 },
    { { Outcome::NotRun, Reason::BodyTooLarge, {} }, 413 },
    { { Outcome::NotRun, Reason::CallerOverShare, {} }, 429 },
    { { Outcome::NotRun, Reason::QueueFull, {} }, 503 },
    { { Outcome::Unknown, Reason::UpstreamLost, {} }, 502 },
    { { Outcome::Unknown, Reason::UpstreamTimeout, {} }, 504 },
    { { Outcome::Unknown, Reason::QueueFull, {} }, 502 },
};

} // namespace

TEST_CASE("statuses follow the interface page", "[finalanswer]")
{
    const Row row = GENERATE(from_range(rows));
    INFO(Utils::enumName(Requests::reasonNames, row.answer.reason));
    REQUIRE(Gateway::statusOf(row.answer) == row.status);
}

TEST_CASE("the body says what the headers say", "[finalanswer]")
{
    const Gateway::FinalAnswer answer { Outcome::NotRun, Reason::QueueFull, std::chrono::milliseconds(40) };
    REQUIRE(Gateway::bodyOf(answer) == R"({"outcome":"not-run","reason":"queue_full","retry_after_ms":40})");
}

TEST_CASE("every reason has a name of its own and an outcome other than done", "[finalanswer]")
{
    for (const Utils::EnumName<Reason>& row : Requests::reasonNames) {
        INFO(row.name);
        REQUIRE(Utils::enumFromName(Requests::reasonNames, row.name) == row.value);
        REQUIRE((Requests::outcomeOf(row.value) == Outcome::Done) == (row.value == Reason::None));
    }
}
