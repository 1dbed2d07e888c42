#include "endlesscaller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace ProcessTest {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

namespace {

void sendFiller(EndlessCaller& caller)
{
    asio::async_write(
        caller.socket, asio::buffer(caller.filler), [&caller](const ErrorCode& error, std::size_t bytes) {
            caller.sentBytes += bytes;
            caller.isDone = error || caller.sentBytes >= caller.maxBytes;
            if (!caller.isDone)
                sendFiller(caller);
        });
}

/// Responses are read and dropped, so that the VM can write them.
void readResponses(EndlessCaller& caller)
{
    caller.socket.async_read_some(
        asio::buffer(caller.received), [&caller](const ErrorCode& error, std::size_t) {
            if (!error)
                readResponses(caller);
        });
}

} // namespace

void startSending(
    EndlessCaller& caller, const boost::asio::ip::tcp::endpoint& endpoint, const std::string& head)
{
    caller.socket.connect(endpoint);
    asio::write(caller.socket, asio::buffer(head));
    readResponses(caller);
    sendFiller(caller);
}

} // namespace ProcessTest
