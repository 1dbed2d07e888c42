#include <soak/aheadcallers.h>
#include <soak/callers.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sstream>

namespace Soak {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

namespace {

struct AheadCaller {
    explicit AheadCaller(World& world)
        : socket(world.context)
        , timer(world.context)
    {
    }

    Tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::string bytes;
    /// Indices of the requests, in their order.
    std::vector<std::size_t> requests;
    std::size_t answered = 0;
    http::response<http::string_body> response;
};

using CallerPtr = std::shared_ptr<AheadCaller>;

/// Ends the requests without a response.
void finish(World& world, const CallerPtr& caller, Edge::CallOutcome outcome)
{
    ErrorCode ignored;
    caller->timer.cancel();
    caller->socket.close(ignored);
    Edge::CallResponse none;
    none.outcome = outcome;
    while (caller->answered < caller->requests.size())
        recordResponse(world, world.requests[caller->requests[caller->answered++]], none);
}

void readNext(World& world, const CallerPtr& caller);

void handleResponse(World& world, const CallerPtr& caller)
{
    RequestRecord& record = world.requests[caller->requests[caller->answered++]];
    const std::string id(caller->response["X-Request-Id"]);
    if (!id.empty() && id != record.id)
        violate(world, "the response to " + id + " came in the place of the one to " + record.id);
    Edge::CallResponse response;
    response.outcome = Edge::CallOutcome::Responded;
    response.status = caller->response.result_int();
    const bool keepAlive = caller->response.keep_alive();
    response.body = std::move(caller->response.body());
    response.fields = std::move(caller->response.base());
    recordResponse(world, record, response);
    // Behind a closing response nothing has been read.
    if (!keepAlive || caller->answered == caller->requests.size())
        finish(world, caller, Edge::CallOutcome::NotConnected);
    else
        readNext(world, caller);
}

void readNext(World& world, const CallerPtr& caller)
{
    caller->response = {};
    http::async_read(caller->socket, caller->buffer, caller->response,
        [&world, caller](const ErrorCode& error, std::size_t) {
            if (caller->answered == caller->requests.size())
                return;
            if (error)
                finish(world, caller, Edge::CallOutcome::NoValidResponse);
            else
                handleResponse(world, caller);
        });
}

void write(World& world, const CallerPtr& caller)
{
    boost::asio::async_write(caller->socket, boost::asio::buffer(caller->bytes),
        [&world, caller](const ErrorCode& error, std::size_t) {
            if (caller->answered == caller->requests.size())
                return;
            if (error)
                finish(world, caller, Edge::CallOutcome::NoValidResponse);
            else
                readNext(world, caller);
        });
}

} // namespace

void sendAhead(World& world, std::size_t vm, std::size_t count)
{
    const CallerPtr caller = std::make_shared<AheadCaller>(world);
    std::ostringstream bytes;
    for (std::size_t sent = 0; sent < count; ++sent) {
        caller->requests.push_back(
            addRequest(world, vm, RequestKind::Safe, std::to_string(world.requests.size())));
        bytes << makeRequest(world, world.requests[caller->requests.back()]);
    }
    caller->bytes = bytes.str();
    caller->timer.expires_after(callTimeout);
    caller->timer.async_wait([&world, caller](const ErrorCode& error) {
        if (!error)
            finish(world, caller, Edge::CallOutcome::TimedOut);
    });
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(world.vms[vm]->address), callersPort);
    caller->socket.async_connect(endpoint, [&world, caller](const ErrorCode& error) {
        if (caller->answered == caller->requests.size())
            return;
        if (error)
            finish(world, caller, Edge::CallOutcome::NotConnected);
        else
            write(world, caller);
    });
}

} // namespace Soak
