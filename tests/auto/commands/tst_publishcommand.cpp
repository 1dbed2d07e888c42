#include "commandfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using CommandFixture::ChangedSet;
using CommandFixture::demoFolder;
using CommandFixture::LogFixture;
using CommandFixture::run;
using CommandFixture::RunResult;
using Commands::ExitCode;
using StandInLog::LogFaults;

namespace {

RunResult publish(const LogFixture& log, const std::string& base, const std::string& folder)
{
    return run(log.withLog({ "publish", "--base", base, folder }));
}

LogFaults fault(std::uint64_t LogFaults::*field, std::uint64_t value)
{
    LogFaults faults;
    faults.*field = value;
    return faults;
}

/// A fault of the log and what becomes of a publication.
struct FaultRow {
    const char* name;
    LogFaults faults;
    ExitCode code;
    const char* word;
    /// Fewest and most records in the log afterwards: a repeated append adds one that the fold passes over.
    std::size_t leastRecords;
    std::size_t mostRecords;
};

} // namespace

TEST_CASE("publishing tells accepted, nothing changed and unknown apart", "[publishcommand]")
{
    const FaultRow rows[] = {
        { "none", {}, ExitCode::Ok, "accepted at offset 1", 1, 1 },
        { "answer lost after the effect", fault(&LogFaults::loseAnswerNext, 1), ExitCode::Ok,
            "accepted at offset 1", 1, 2 },
        { "request lost before the effect", fault(&LogFaults::loseRequestNext, 1), ExitCode::Ok,
            "accepted at offset 1", 1, 1 },
        { "malformed answers", fault(&LogFaults::malformedNext, 2), ExitCode::Ok, "accepted at offset 1", 1,
            2 },
        { "truncated answers", fault(&LogFaults::truncateNext, 3), ExitCode::Ok, "accepted at offset 1", 1,
            3 },
        { "outage", fault(&LogFaults::outage, 1), ExitCode::LogUnreachable, "unavailable", 0, 0 },
        { "reads that never show it", fault(&LogFaults::lagRecords, 1000), ExitCode::LogUnreachable,
            "unknown", 1, 1 },
    };
    for (const FaultRow& row : rows) {
        INFO(row.name);
        LogFixture log(row.faults);
        const RunResult result = publish(log, "latest", demoFolder());
        INFO(result.out << result.error);
        CHECK(result.code == row.code);
        CHECK_THAT(result.out + result.error, Catch::Contains(row.word));
        const std::size_t records = log.stopAndCount();
        CHECK(records >= row.leastRecords);
        CHECK(records <= row.mostRecords);
    }
}

TEST_CASE("of two operators with one base, the first wins and the second is told", "[publishcommand]")
{
    LogFixture log;
    REQUIRE(publish(log, "0", demoFolder()).code == ExitCode::Ok);
    const ChangedSet first("first", "ranks.json", "\"target_ms\": 50,", "\"target_ms\": 60,");
    const ChangedSet second("second", "ranks.json", "\"target_ms\": 50,", "\"target_ms\": 70,");
    const RunResult won = publish(log, "1", first.folder.string());
    CHECK(won.code == ExitCode::Ok);
    CHECK_THAT(won.out, Catch::Contains("changed Rank \"urgent\" /target_ms: 50 -> 60"));
    CHECK_THAT(won.out, Catch::Contains("accepted at offset 2"));
    const RunResult lost = publish(log, "1", second.folder.string());
    CHECK(lost.code == ExitCode::Conflict);
    CHECK_THAT(lost.error, Catch::Contains("in force is the one at offset 2"));
    CHECK(log.stopAndCount() == 2);
}

TEST_CASE("of operators that race with one base, exactly one wins", "[publishcommand]")
{
    const LogFaults faults = GENERATE(LogFaults {}, fault(&LogFaults::loseAnswerNext, 3));
    LogFixture log(faults);
    constexpr std::size_t racers = 6;
    std::vector<std::unique_ptr<ChangedSet>> sets;
    for (std::size_t i = 0; i < racers; i += 1) {
        const std::string target = "\"target_ms\": 5" + std::to_string(i) + ",";
        sets.push_back(std::make_unique<ChangedSet>(
            "racer" + std::to_string(i), "ranks.json", "\"target_ms\": 50,", target));
    }
    std::array<ExitCode, racers> codes {};
    std::vector<std::thread> threads;
    threads.reserve(racers);
    for (std::size_t i = 0; i < racers; i += 1)
        threads.emplace_back([&, i] { codes[i] = publish(log, "0", sets[i]->folder.string()).code; });
    for (std::thread& thread : threads)
        thread.join();
    CHECK(std::count(codes.begin(), codes.end(), ExitCode::Ok) == 1);
    CHECK(std::count(codes.begin(), codes.end(), ExitCode::Conflict) == racers - 1);
}

TEST_CASE("a log that has lost its start is not published to", "[publishcommand]")
{
    LogFixture log;
    log.service.streams["crocusferry"].end = 10;
    const RunResult result = publish(log, "latest", demoFolder());
    CHECK(result.code == ExitCode::LogUnreachable);
    CHECK_THAT(result.error, Catch::Contains("needs_checkpoint"));
    CHECK(log.stopAndCount() == 0);
}

TEST_CASE("publishing what is in force adds nothing", "[publishcommand]")
{
    LogFixture log;
    REQUIRE(publish(log, "0", demoFolder()).code == ExitCode::Ok);
    const RunResult again = publish(log, "0", demoFolder());
    CHECK(again.code == ExitCode::Ok);
    CHECK_THAT(again.out, Catch::Contains("accepted at offset 1"));
    CHECK(log.stopAndCount() == 1);
}

TEST_CASE("a set with faults or that may not follow never reaches the log", "[publishcommand]")
{
    LogFixture log;
    const ChangedSet faulty("faulty", "keyranges.json", "\"to\": \"w\"", "\"to\": \"v\"");
    CHECK(publish(log, "0", faulty.folder.string()).code == ExitCode::Faults);
    REQUIRE(publish(log, "0", demoFolder()).code == ExitCode::Ok);
    const ChangedSet reshaped("reshaped", "keyranges.json", "\"shards\": 8", "\"shards\": 9");
    const RunResult refused = publish(log, "1", reshaped.folder.string());
    CHECK(refused.code == ExitCode::Faults);
    CHECK_THAT(refused.out, Catch::Contains("key_range_reshaped"));
    CHECK(publish(log, "one", demoFolder()).code == ExitCode::Usage);
    CHECK(run({ "publish", "--base", "0", "--log", "localhost", demoFolder() }).code == ExitCode::Usage);
    CHECK(run(log.withLog({ "publish", "--base", "0", "--log-stream", "a/b", demoFolder() })).code
        == ExitCode::Usage);
    CHECK(log.stopAndCount() == 1);
}

TEST_CASE("a log that nobody serves is reported, with nothing changed", "[publishcommand]")
{
    LogFixture log;
    const std::vector<std::string> arguments = log.withLog({ "publish", "--base", "0", demoFolder() });
    log.stopAndCount();
    const RunResult result = run(arguments);
    CHECK(result.code == ExitCode::LogUnreachable);
    CHECK_THAT(result.error, Catch::Contains("unreachable"));
}
