#include <standins/log/logservice.h>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>

namespace StandInLog {

namespace asio = boost::asio;
namespace json = boost::json;
using StandInSupport::HttpReply;
using StandInSupport::HttpRequest;

namespace {

constexpr std::uint64_t maxReadLimit = 1000;
constexpr std::size_t overlongBytes = std::size_t(9) << 20;

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::uint64_t numberIn(const HttpRequest& request, const std::string& name, std::uint64_t otherwise)
{
    const std::map<std::string, std::string>::const_iterator found = request.query.find(name);
    std::uint64_t number = otherwise;
    if (found != request.query.end())
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
    return number;
}

std::optional<std::string> streamOf(const std::string& path)
{
    constexpr std::string_view head = "/streams/";
    constexpr std::string_view tail = "/records";
    if (!path.starts_with(head) || !path.ends_with(tail) || path.size() <= head.size() + tail.size())
        return std::nullopt;
    return path.substr(head.size(), path.size() - head.size() - tail.size());
}

/// Ends the waits that \a stream has records for now.
void wakeWaiting(LogService& service, const std::string& stream)
{
    for (std::pair<const std::uint64_t, WaitingRequest>& entry : service.waiting) {
        if (entry.second.endsWithRecord && entry.second.stream == stream)
            entry.second.timer.cancel();
    }
}

HttpReply append(LogService& service, const std::string& name, const HttpRequest& request)
{
    if (request.body.size() > service.options.maxRecordBytes)
        return { 413, "{}" };
    if (StandInSupport::takeOne(service.faults.loseRequestNext))
        return { 0, "", true };
    const std::uint64_t offset = addRecord(service.streams[name], request.body, nowMs());
    wakeWaiting(service, name);
    HttpReply reply { 200, json::serialize(json::object { { "offset", offset } }) };
    reply.drop = StandInSupport::takeOne(service.faults.loseAnswerNext);
    return reply;
}

/// The end that a read sees: \c lagRecords before the true one.
std::uint64_t visibleEnd(const LogService& service, const LogStream& stream)
{
    const std::uint64_t first = firstOffset(stream);
    return std::max(first, stream.end - std::min(stream.end, service.faults.lagRecords));
}

json::array recordsFrom(LogService& service, const LogStream& stream, std::uint64_t from, std::uint64_t limit)
{
    const std::uint64_t end = visibleEnd(service, stream);
    const std::uint64_t first = firstOffset(stream);
    json::array records;
    for (std::uint64_t offset = from; offset < end && records.size() < limit; ++offset) {
        const StoredRecord& record = stream.records[offset - first];
        records.push_back(json::object {
            { "offset", record.offset }, { "time_ms", record.timeMs }, { "data", record.data } });
    }
    if (records.size() > 1 && StandInSupport::takeOne(service.faults.skipRecordNext))
        records.erase(records.begin());
    return records;
}

HttpReply read(LogService& service, const std::string& name, const HttpRequest& request)
{
    const LogStream& stream = service.streams[name];
    const std::uint64_t from = numberIn(request, "from", 1);
    json::object object;
    object["first"] = firstOffset(stream);
    object["end"] = visibleEnd(service, stream);
    if (from < firstOffset(stream))
        return { 410, json::serialize(object) };
    object["records"]
        = recordsFrom(service, stream, from, std::min(numberIn(request, "limit", 100), maxReadLimit));
    return { 200, json::serialize(object) };
}

/// Spoils an answer as the faults say.
HttpReply spoil(LogFaults& faults, HttpReply reply)
{
    if (StandInSupport::takeOne(faults.malformedNext))
        reply.body = "{\"offset\":";
    if (StandInSupport::takeOne(faults.overlongNext))
        reply.body = std::string(overlongBytes, ' ');
    if (StandInSupport::takeOne(faults.truncateNext))
        reply.truncate = true;
    return reply;
}

HttpReply answerNow(LogService& service, const std::string& stream, const HttpRequest& request)
{
    if (service.faults.outage != 0)
        return { 503, "{}" };
    if (request.method == "POST")
        return spoil(service.faults, append(service, stream, request));
    expireRecords(service.streams[stream], service.options, nowMs());
    return spoil(service.faults, read(service, stream, request));
}

/// How long a read waits for a record before it is answered.
std::chrono::milliseconds waitOf(LogService& service, const std::string& stream, const HttpRequest& request)
{
    const bool hasRecords = numberIn(request, "from", 1) < visibleEnd(service, service.streams[stream]);
    if (request.method == "POST" || hasRecords || service.faults.outage != 0)
        return std::chrono::milliseconds(0);
    return std::chrono::milliseconds(numberIn(request, "wait_ms", 0));
}

/// Calls \a next with the request once \a wait is over or, if it may end so, a record has come.
void waitThen(LogService& service, WaitingRequest waiting, std::chrono::milliseconds wait,
    void (*next)(LogService&, WaitingRequest))
{
    const std::uint64_t number = ++service.lastWaiting;
    WaitingRequest& kept = service.waiting.emplace(number, std::move(waiting)).first->second;
    kept.timer.expires_after(wait);
    kept.timer.async_wait([&service, number, next](const boost::system::error_code&) {
        WaitingRequest due = std::move(service.waiting.at(number));
        service.waiting.erase(number);
        next(service, std::move(due));
    });
}

void answer(LogService& service, WaitingRequest due)
{
    due.reply(answerNow(service, due.stream, due.request));
}

void answerWithRecords(LogService& service, WaitingRequest due)
{
    const std::chrono::milliseconds wait = waitOf(service, due.stream, due.request);
    if (wait.count() == 0) {
        answer(service, std::move(due));
        return;
    }
    due.endsWithRecord = true;
    waitThen(service, std::move(due), wait, answer);
}

void serveStream(
    LogService& service, const std::string& stream, HttpRequest request, StandInSupport::ReplyFunction reply)
{
    WaitingRequest waiting { stream, std::move(request), std::move(reply),
        asio::steady_timer(service.context), false };
    if (service.faults.slowMs > 0)
        waitThen(
            service, std::move(waiting), std::chrono::milliseconds(service.faults.slowMs), answerWithRecords);
    else
        answerWithRecords(service, std::move(waiting));
}

HttpReply serveFaults(LogService& service, const HttpRequest& request)
{
    if (request.method == "POST" && !StandInSupport::setFaults(service.faults, logFaultTable, request.body))
        return { 400, "{}" };
    return { 200, StandInSupport::showFaults(service.faults, logFaultTable) };
}

void serve(LogService& service, HttpRequest request, StandInSupport::ReplyFunction reply)
{
    if (request.path == "/faults") {
        reply(serveFaults(service, request));
        return;
    }
    const std::optional<std::string> stream = streamOf(request.path);
    if (!stream)
        reply({ 404, "{}" });
    else
        serveStream(service, *stream, std::move(request), std::move(reply));
}

} // namespace

StandInSupport::HttpHandler handlerOf(LogService& service)
{
    return [&service](HttpRequest request, StandInSupport::ReplyFunction reply) {
        serve(service, std::move(request), std::move(reply));
    };
}

} // namespace StandInLog
