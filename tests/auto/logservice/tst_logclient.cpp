#include "platformfixture.h"

#include <logservice/logclient.h>
#include <logservice/platformconstants.h>
#include <standins/log/logservice.h>
#include <standins/support/backgroundserver.h>

#include <catch2/catch.hpp>

#include <thread>

namespace {

using namespace std::chrono_literals;
using PlatformFixture::outcomeOf;

/// A log with three records in stream "crocus".
struct LogFixture {
    explicit LogFixture(const StandInLog::LogFaults& faults = {})
    {
        for (const char* const text : { "one", "two", "three" })
            StandInLog::addRecord(this->service.streams["crocus"], text, recentMs());
        this->service.faults = faults;
        this->server.emplace(this->context, StandInLog::handlerOf(this->service));
        this->endpoint = { { "127.0.0.1", this->server->port() }, "crocus" };
    }

    static std::int64_t recentMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    /// Records in the stream, once the server has stopped.
    std::size_t stopAndCount()
    {
        this->server.reset();
        return this->service.streams["crocus"].records.size();
    }

    boost::asio::io_context context { 1 };
    StandInLog::LogService service { context };
    std::optional<StandInSupport::BackgroundServer> server;
    LogService::LogEndpoint endpoint;
};

struct FaultRow {
    std::string name;
    StandInLog::LogFaults faults;
    std::string appendOutcome;
    std::size_t recordsAfterAppend;
    std::string readOutcome;
};

StandInLog::LogFaults fault(std::uint64_t StandInLog::LogFaults::*field, std::uint64_t value = 1)
{
    StandInLog::LogFaults faults;
    faults.*field = value;
    return faults;
}

const std::vector<FaultRow>& faultRows()
{
    using Faults = StandInLog::LogFaults;
    static const std::vector<FaultRow> rows {
        { "none", {}, "ok", 4, "ok" },
        { "outage", fault(&Faults::outage), "unavailable", 3, "unavailable" },
        { "slower than the timeout", fault(&Faults::slowMs, 5000), "answer_lost", 3, "timeout" },
        { "answer lost after the effect", fault(&Faults::loseAnswerNext), "answer_lost", 4, "ok" },
        { "request lost before the effect", fault(&Faults::loseRequestNext), "answer_lost", 3, "ok" },
        { "malformed answer", fault(&Faults::malformedNext), "answer_lost", 4, "malformed" },
        { "truncated answer", fault(&Faults::truncateNext), "answer_lost", 4, "malformed" },
        { "over-long answer", fault(&Faults::overlongNext), "answer_lost", 4, "answer_too_large" },
        { "a record missing in an answer", fault(&Faults::skipRecordNext), "ok", 4, "malformed" },
        { "lagging reads", fault(&Faults::lagRecords, 2), "ok", 4, "ok" },
    };
    return rows;
}

} // namespace

TEST_CASE("an append tells effect, no effect and doubt apart", "[logclient]")
{
    const FaultRow row = GENERATE(from_range(faultRows()));
    INFO(row.name);
    LogFixture log(row.faults);
    REQUIRE(outcomeOf([&] { return LogService::appendRecord(log.endpoint, "four", 300ms); })
        == row.appendOutcome);
    REQUIRE(log.stopAndCount() == row.recordsAfterAppend);
}

TEST_CASE("a read gives whole records or a typed error", "[logclient]")
{
    const FaultRow row = GENERATE(from_range(faultRows()));
    INFO(row.name);
    LogFixture log(row.faults);
    REQUIRE(outcomeOf([&] { return LogService::readRecords(log.endpoint, 1, 10, 0ms, 300ms); })
        == row.readOutcome);
}

TEST_CASE("an appended record is read back", "[logclient]")
{
    LogFixture log;
    const std::string text = "quote \" and \xc5\x82 and \n";
    const boost::leaf::result<LogService::AppendAnswer> appended
        = LogService::appendRecord(log.endpoint, text, 2s);
    REQUIRE(appended.has_value());
    REQUIRE(appended->offset == 4);
    const boost::leaf::result<LogService::ReadAnswer> read
        = LogService::readRecords(log.endpoint, 3, 10, 0ms, 2s);
    REQUIRE(read.has_value());
    REQUIRE(read->kept == LogService::KeptRange { 1, 5 });
    REQUIRE(read->records.size() == 2);
    REQUIRE(read->records[1].data == text);
}

TEST_CASE("a read that waits ends with the first record", "[logclient]")
{
    LogFixture log;
    std::thread reader([&] {
        const boost::leaf::result<LogService::ReadAnswer> read
            = LogService::readRecords(log.endpoint, 4, 10, 10s, 20s);
        CHECK((read.has_value() && read->records.size() == 1));
    });
    const boost::leaf::result<LogService::AppendAnswer> appended
        = LogService::appendRecord(log.endpoint, "four", 2s);
    reader.join();
    REQUIRE(appended.has_value());
}

TEST_CASE("a lagging read hides the newest records and nothing else", "[logclient]")
{
    LogFixture log(fault(&StandInLog::LogFaults::lagRecords, 2));
    const boost::leaf::result<LogService::ReadAnswer> read
        = LogService::readRecords(log.endpoint, 1, 10, 0ms, 2s);
    REQUIRE(read.has_value());
    REQUIRE(read->kept == LogService::KeptRange { 1, 2 });
    REQUIRE(read->records.size() == 1);
    const boost::leaf::result<LogService::ReadAnswer> ahead
        = LogService::readRecords(log.endpoint, 4, 10, 0ms, 2s);
    REQUIRE(ahead.has_value());
    REQUIRE(ahead->records.empty());
}

TEST_CASE("expired records come with what is kept", "[logclient]")
{
    LogFixture log;
    log.service.options.retentionCount = 1;
    const LogService::KeptRange kept = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<LogService::KeptRange> {
            BOOST_LEAF_CHECK(LogService::readRecords(log.endpoint, 1, 10, 0ms, 2s));
            return LogService::KeptRange {};
        },
        [](LogService::PlatformError error, const LogService::KeptRange& range) {
            return error == LogService::PlatformError::Expired ? range : LogService::KeptRange {};
        },
        [] { return LogService::KeptRange {}; });
    REQUIRE(kept == LogService::KeptRange { 3, 4 });
}

TEST_CASE("calls that can't be made have no effect", "[logclient]")
{
    LogFixture log;
    const std::string tooLong(LogService::maxRecordBytes + 1, 'x');
    REQUIRE(
        outcomeOf([&] { return LogService::appendRecord(log.endpoint, tooLong, 2s); }) == "record_too_large");
    LogService::LogEndpoint wrong = log.endpoint;
    wrong.stream = "a/b";
    REQUIRE(outcomeOf([&] { return LogService::appendRecord(wrong, "x", 2s); }) == "bad_endpoint");
    wrong = log.endpoint;
    wrong.service.address = "localhost";
    REQUIRE(outcomeOf([&] { return LogService::appendRecord(wrong, "x", 2s); }) == "bad_endpoint");
    REQUIRE(log.stopAndCount() == 3);
    REQUIRE(outcomeOf([&] { return LogService::appendRecord(log.endpoint, "x", 2s); }) == "unreachable");
}

TEST_CASE("an answer outside the contract is malformed", "[logclient]")
{
    const std::string body = GENERATE("", "[]", "{}", R"({"first":0,"end":1,"records":[]})",
        R"({"first":5,"end":4,"records":[]})", R"({"first":1,"end":2})",
        R"({"first":1,"end":2,"records":[{"offset":2,"time_ms":1,"data":"x"}]})",
        R"({"first":1,"end":1,"records":[{"offset":1,"time_ms":1,"data":"x"}]})",
        R"({"first":1,"end":2,"records":[{"offset":1,"time_ms":-1,"data":"x"}]})",
        R"({"first":1,"end":2,"records":[{"offset":1,"time_ms":1,"data":5}]})",
        R"({"first":1,"end":2,"records":[{"offset":1.5,"time_ms":1,"data":"x"}]})",
        R"({"first":2,"end":3,"records":[]})");
    const unsigned status = GENERATE(200U, 410U);
    INFO(status << " " << body);
    boost::asio::io_context context { 1 };
    StandInSupport::BackgroundServer server(
        context, [&](const StandInSupport::HttpRequest&, const StandInSupport::ReplyFunction& reply) {
            reply({ status, body });
        });
    const LogService::LogEndpoint endpoint { { "127.0.0.1", server.port() }, "crocus" };
    const std::string outcome = outcomeOf([&] { return LogService::readRecords(endpoint, 1, 10, 0ms, 2s); });
    const bool isExpired = status == 410 && body.starts_with(R"({"first":2)");
    REQUIRE(outcome == (isExpired ? "expired" : "malformed"));
}
