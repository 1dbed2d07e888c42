#include <gateway/adminduty.h>

#include <gateway/gatewayconstants.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Gateway {

namespace Internal {

namespace http = boost::beast::http;
using AdminResponse = http::response<http::string_body>;

AdminResponse answerTo(const std::string& target, const GatewayMetrics& metrics, const StatusBoard& board)
{
    AdminResponse response;
    response.result(http::status::ok);
    if (target == "/metrics") {
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = writeMetrics(metrics);
    } else if (target == "/status") {
        response.set(http::field::content_type, "application/json");
        response.body() = board.text();
    } else if (target == "/health") {
        response.body() = "alive\n";
    } else if (target == "/ready") {
        response.result(board.ready() ? http::status::ok : http::status::service_unavailable);
        response.body() = board.ready() ? "ready\n" : "not ready\n";
    } else {
        response.result(http::status::not_found);
        response.body() = "known: /metrics /status /health /ready\n";
    }
    return response;
}

} // namespace Internal

AdminDuty::AdminDuty(const DaemonSettings& settings, const GatewayMetrics& metrics, const StatusBoard& board)
    : settings(settings)
    , metrics(metrics)
    , board(board)
{
}

AdminDuty::~AdminDuty() { this->stop(); }

void AdminDuty::start()
{
    boost::asio::co_spawn(this->context, this->accept(), boost::asio::detached);
    this->thread = std::thread([this] { this->context.run(); });
}

void AdminDuty::stop()
{
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

boost::asio::awaitable<void> AdminDuty::accept()
{
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(this->context,
        asio::ip::tcp::endpoint(asio::ip::make_address(this->settings.address), this->settings.adminPort));
    while (true) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket
            = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
    }
}

boost::asio::awaitable<void> AdminDuty::serve(boost::asio::ip::tcp::socket socket)
{
    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(maxRequestHeadBytes);
    boost::system::error_code error;
    bool keepAlive = true;
    while (keepAlive && !error) {
        http::request<http::string_body> request;
        stream.expires_after(callerIdleTimeout);
        co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        Internal::AdminResponse response
            = Internal::answerTo(std::string(request.target()), this->metrics, this->board);
        keepAlive = request.keep_alive();
        response.version(request.version());
        response.keep_alive(keepAlive);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace Gateway
