#pragma once

#include <gateway/daemonsettings.h>
#include <gateway/gatewaymetrics.h>
#include <gateway/statusboard.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <thread>

namespace Gateway {

/// The thread that serves the admin port: `/metrics`, `/health`, `/ready` and `/status`.
class AdminDuty {
public:
    AdminDuty(const DaemonSettings& settings, const GatewayMetrics& metrics, const StatusBoard& board);
    ~AdminDuty();

    void start();
    void stop();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    const DaemonSettings& settings;
    const GatewayMetrics& metrics;
    const StatusBoard& board;
    boost::asio::io_context context { 1 };
    std::thread thread;
};

} // namespace Gateway
