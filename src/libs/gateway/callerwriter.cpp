#include <gateway/callerwriter.h>

#include <gateway/gatewayconstants.h>
#include <gateway/requesthead.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

bool hasLength(const Wire::AnswerHead& head)
{
    const auto isLength = [](const Wire::HttpHeader& header) {
        return boost::algorithm::iequals(header.name, "Content-Length");
    };
    return std::any_of(head.headers.begin(), head.headers.end(), isLength);
}

template <typename Body>
http::response<Body> responseFor(const CallerConnection& caller, const Wire::AnswerHead& head)
{
    http::response<Body> response;
    response.result(head.status);
    response.version(caller.version);
    for (const Wire::HttpHeader& header : head.headers)
        response.insert(header.name, header.value);
    response.set("Outcome", Utils::enumName(Requests::outcomeNames, Requests::Outcome::Done));
    response.keep_alive(caller.keepAlive);
    return response;
}

template <typename Message> asio::awaitable<bool> writeMessage(CallerConnection& caller, Message& message)
{
    boost::system::error_code error;
    caller.stream.expires_after(callerTransferTimeout);
    co_await http::async_write(caller.stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

template <typename Buffers> asio::awaitable<bool> writeBytes(CallerConnection& caller, const Buffers& buffers)
{
    boost::system::error_code error;
    caller.stream.expires_after(callerTransferTimeout);
    co_await asio::async_write(caller.stream, buffers, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

} // namespace Internal

boost::asio::awaitable<bool> writeFinal(CallerConnection& caller, const FinalAnswer& answer)
{
    namespace http = boost::beast::http;
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t milliseconds = Utils::toMilliseconds(answer.retryAfter);
    http::response<http::string_body> response;
    response.result(statusOf(answer));
    response.version(caller.version);
    response.set("Outcome", Utils::enumName(Requests::outcomeNames, answer.outcome));
    response.set("Reason", Utils::enumName(Requests::reasonNames, answer.reason));
    response.set(
        "Retry-After", std::to_string((milliseconds + millisecondsPerSecond - 1) / millisecondsPerSecond));
    response.set("Retry-After-Ms", std::to_string(milliseconds));
    response.set(http::field::content_type, "application/json");
    response.keep_alive(caller.keepAlive);
    if (!caller.headRequest)
        response.body() = bodyOf(answer);
    response.prepare_payload();
    co_return co_await Internal::writeMessage(caller, response);
}

boost::asio::awaitable<bool> writeWhole(
    CallerConnection& caller, const Wire::AnswerHead& head, std::string body)
{
    namespace http = boost::beast::http;
    if (caller.headRequest) {
        http::response<http::empty_body> response = Internal::responseFor<http::empty_body>(caller, head);
        co_return co_await Internal::writeMessage(caller, response);
    }
    http::response<http::string_body> response = Internal::responseFor<http::string_body>(caller, head);
    response.body() = std::move(body);
    response.prepare_payload();
    co_return co_await Internal::writeMessage(caller, response);
}

boost::asio::awaitable<bool> writeHead(CallerConnection& caller, const Wire::AnswerHead& head)
{
    namespace http = boost::beast::http;
    http::response<http::empty_body> response = Internal::responseFor<http::empty_body>(caller, head);
    if (!Internal::hasLength(head))
        response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    caller.answerBegun = true;
    caller.stream.expires_after(callerTransferTimeout);
    co_await http::async_write_header(
        caller.stream, serializer, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error;
}

boost::asio::awaitable<bool> writePart(
    CallerConnection& caller, const Wire::AnswerHead& head, const std::string& bytes)
{
    if (Internal::hasLength(head))
        co_return co_await Internal::writeBytes(caller, boost::asio::buffer(bytes));
    // Named, since GCC 12 destroys such a temporary twice when it stands in a co_await expression.
    const boost::beast::http::chunk_body<boost::asio::const_buffer> chunk(
        boost::asio::const_buffer(bytes.data(), bytes.size()));
    co_return co_await Internal::writeBytes(caller, chunk);
}

boost::asio::awaitable<bool> writeEnd(CallerConnection& caller, const Wire::AnswerHead& head)
{
    if (Internal::hasLength(head))
        co_return true;
    const boost::beast::http::chunk_last<boost::beast::http::chunk_crlf> last
        = boost::beast::http::make_chunk_last();
    co_return co_await Internal::writeBytes(caller, last);
}

} // namespace Gateway
