#include <standins/caller/answercheck.h>

#include <standins/journal/answerpattern.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace {

using Journal::AnswerState;

struct PatternCase {
    std::string name;
    std::string seededBy;
    std::uint64_t start;
    std::uint64_t sent;
    AnswerState verdict;
};

const std::vector<PatternCase> patternCases {
    { "whole", "r", 0, 1000, AnswerState::Whole },
    { "short", "r", 0, 999, AnswerState::Cut },
    { "long", "r", 0, 1001, AnswerState::Foreign },
    { "of another", "other", 0, 1000, AnswerState::Foreign },
    { "shifted", "r", 1, 1000, AnswerState::Foreign },
};

struct EchoCase {
    std::string name;
    std::string body;
    AnswerState verdict;
};

const std::vector<EchoCase> echoCases {
    { "own", R"({"request":"r","idempotency_key":"k","body_digest":7})", AnswerState::Whole },
    { "of another", R"({"request":"s","idempotency_key":"k","body_digest":7})", AnswerState::Foreign },
    { "of another body", R"({"request":"r","idempotency_key":"k","body_digest":8})", AnswerState::Foreign },
    { "short", R"({"request":"r","idempo)", AnswerState::Cut },
    { "empty", "", AnswerState::Cut },
};

} // namespace

TEST_CASE("a pattern tells whole, cut and foreign answers apart", "[answercheck]")
{
    const PatternCase row = GENERATE(from_range(patternCases));
    const std::size_t piece = GENERATE(1, 7, 64, 2000);
    INFO(row.name);
    StandInCaller::AnswerCheck check;
    check.request = "r";
    check.bytes = 1000;
    std::vector<char> body(row.sent);
    Journal::fillPattern(Journal::patternSeed(row.seededBy), row.start, body);
    for (std::size_t at = 0; at < body.size(); at += piece)
        feed(check, std::span<const char>(body).subspan(at, std::min(piece, body.size() - at)));
    REQUIRE(verdictOf(check) == row.verdict);
}

TEST_CASE("an echo must name its own request", "[answercheck]")
{
    const EchoCase row = GENERATE(from_range(echoCases));
    INFO(row.name);
    StandInCaller::AnswerCheck check;
    check.request = "r";
    check.idempotencyKey = "k";
    check.bodyDigest = 7;
    feed(check, row.body);
    REQUIRE(verdictOf(check) == row.verdict);
}
