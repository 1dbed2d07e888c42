#pragma once

#include "testenvironment.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace EdgeTest {

/// A response on the connection of a RawCaller.
struct RawResponse {
    unsigned status = 0;
    std::string body;
    bool keepAlive = true;
};

/// A caller that writes bytes of its choice to one connection.
struct RawCaller {
    explicit RawCaller(boost::asio::io_context& context)
        : socket(context)
    {
    }

    boost::asio::ip::tcp::socket socket;
    std::string received;
    std::string chunk = std::string(65536, '\0');
    /// Whether the VM has closed the connection.
    bool closed = false;
};

/// A request as bytes. \param fields further header lines, each with its line end.
std::string requestBytes(
    const std::string& path, const std::string& fields = "", const std::string& body = "");

/// Connects to \a vm and writes \a bytes, without running any other part; then reads in the background.
void connectAndSend(RawCaller& caller, const Edge::Service& vm, const std::string& bytes);

/// The same with any \a endpoint.
void connectAndSend(RawCaller& caller, const Routing::Endpoint& endpoint, const std::string& bytes);

/// The same without reading; startReading() begins that.
void connectWithoutReading(RawCaller& caller, const Routing::Endpoint& endpoint, const std::string& bytes);

/// Reads in the background.
void startReading(RawCaller& caller);

void sendBytes(RawCaller& caller, const std::string& bytes);

/// The complete final responses so far, in their order.
std::vector<RawResponse> responsesOf(const RawCaller& caller);

} // namespace EdgeTest
