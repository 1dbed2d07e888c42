#include <standins/log/logservice.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
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

void wakeWaiting(LogService& service)
{
    for (const std::pair<const std::uint64_t, asio::steady_timer*>& entry : service.waiting)
        entry.second->cancel();
}

HttpReply append(LogService& service, const std::string& name, const HttpRequest& request)
{
    if (request.body.size() > service.options.maxRecordBytes)
        return { 413, "{}" };
    if (StandInSupport::takeOne(service.faults.loseRequestNext))
        return { 0, "", true };
    const std::uint64_t offset = addRecord(service.streams[name], request.body, nowMs());
    wakeWaiting(service);
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

asio::awaitable<void> pause(std::chrono::milliseconds length)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(asio::use_awaitable);
}

/// Waits until there is something to read or the request's wait is over.
asio::awaitable<void> waitForRecords(LogService& service, const std::string& name, const HttpRequest& request)
{
    using Clock = std::chrono::steady_clock;
    const std::uint64_t from = numberIn(request, "from", 1);
    const Clock::time_point until = Clock::now() + std::chrono::milliseconds(numberIn(request, "wait_ms", 0));
    const std::uint64_t number = ++service.lastWaiting;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    service.waiting[number] = &timer;
    while (Clock::now() < until && from >= visibleEnd(service, service.streams[name])) {
        timer.expires_at(until);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    service.waiting.erase(number);
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

asio::awaitable<HttpReply> serveStream(LogService& service, std::string name, HttpRequest request)
{
    if (service.faults.slowMs > 0)
        co_await pause(std::chrono::milliseconds(service.faults.slowMs));
    if (service.faults.outage != 0)
        co_return HttpReply { 503, "{}" };
    if (request.method == "POST")
        co_return spoil(service.faults, append(service, name, request));
    co_await waitForRecords(service, name, request);
    if (service.faults.outage != 0)
        co_return HttpReply { 503, "{}" };
    expireRecords(service.streams[name], service.options, nowMs());
    co_return spoil(service.faults, read(service, name, request));
}

HttpReply serveFaults(LogService& service, const HttpRequest& request)
{
    if (request.method == "POST" && !StandInSupport::setFaults(service.faults, logFaultTable, request.body))
        return { 400, "{}" };
    return { 200, StandInSupport::showFaults(service.faults, logFaultTable) };
}

asio::awaitable<HttpReply> serve(LogService& service, HttpRequest request)
{
    if (request.path == "/faults")
        co_return serveFaults(service, request);
    const std::optional<std::string> stream = streamOf(request.path);
    if (!stream)
        co_return HttpReply { 404, "{}" };
    co_return co_await serveStream(service, *stream, std::move(request));
}

} // namespace

StandInSupport::HttpHandler handlerOf(LogService& service)
{
    return [&service](HttpRequest request) { return serve(service, std::move(request)); };
}

} // namespace StandInLog
