#include <edge/callpool.h>
#include <platform/grantcalls.h>

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace std::chrono_literals;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

TEST_CASE("A call in flight is reset when its process ends", "[callpool]")
{
    // A grant that a partition holds up would arrive when the links are back, though its sender has been
    // killed, and its lease would count from then.
    asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Routing::Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
    {
        asio::io_context ended;
        Edge::CallPool pool(ended);
        Edge::startCall(pool, endpoint,
            Platform::makeGrantRequest(endpoint, { "u" }, { { 0, 65535 }, 1, 4800ms, "" }), 500ms,
            [](const Edge::CallResponse&) {});
        ended.run_for(100ms);
    }
    Tcp::socket socket(context);
    acceptor.accept(socket);
    std::string text;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(text), error);
    CHECK(error == asio::error::connection_reset);
}
