#include <edge/clock.h>
#include <edge/reports.h>
#include <granting/loadreportcodec.h>
#include <granting/recorderror.h>
#include <logging/log.h>

#include <boost/asio/ip/address.hpp>
#include <boost/leaf.hpp>

#include <memory>
#include <vector>

namespace Edge {

namespace leaf = boost::leaf;
using Udp = boost::asio::ip::udp;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Busy keys change within seconds, and the leader plans about as often.
constexpr Utils::Duration reportInterval = std::chrono::milliseconds(700);
constexpr std::size_t largestDatagram = 65507;

void takeReport(Node& node, const Granting::LoadReport& report)
{
    for (const Granting::ServiceKeys& keys : report.services) {
        Granting::KeyLoad& load = node.leader.loads[keys.service];
        Granting::decay(load, now());
        for (auto it = keys.counts.begin(); it != keys.counts.end(); ++it)
            Granting::addRequests(load, it->first, it->second);
    }
}

void receiveNext(Node& node, const std::shared_ptr<std::vector<char>>& buffer)
{
    node.peers.async_receive(
        boost::asio::buffer(*buffer), [&node, buffer](const ErrorCode& error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error) {
                leaf::try_handle_all(
                    [&]() -> leaf::result<void> {
                        BOOST_LEAF_AUTO(report, Granting::decodeReport({ buffer->data(), size }));
                        takeReport(node, report);
                        return {};
                    },
                    [&]() {
                        Logging::write(Logging::Level::Warning, "report_unreadable", { { "bytes", size } });
                    });
            }
            receiveNext(node, buffer);
        });
}

void sendReport(Node& node)
{
    Granting::LoadReport report;
    report.vm = node.settings.name;
    for (auto it = node.leader.counted.begin(); it != node.leader.counted.end(); ++it)
        report.services.push_back(it->second);
    node.leader.counted.clear();
    const Granting::Leadership& leadership = node.leader.leadership;
    if (report.services.empty() || !leadership.last || leadership.last->vm.value.empty())
        return;
    if (leadership.last->vm == node.settings.name) {
        takeReport(node, report);
        return;
    }
    const std::string datagram = Granting::encodeReport(report);
    const Udp::endpoint leader(
        boost::asio::ip::make_address(leadership.last->reports.address), leadership.last->reports.port);
    ErrorCode error;
    node.peers.send_to(boost::asio::buffer(datagram), leader, 0, error);
    if (error)
        Logging::write(Logging::Level::Debug, "report_not_sent", { { "error", error.message() } });
}

void scheduleReport(Node& node)
{
    node.reportTimer.expires_after(reportInterval);
    node.reportTimer.async_wait([&node](const ErrorCode& error) {
        if (error)
            return;
        sendReport(node);
        scheduleReport(node);
    });
}

} // namespace Internal

void startReports(Node& node)
{
    const Udp::endpoint local(
        boost::asio::ip::make_address(node.settings.address), node.settings.firstInternalPort);
    node.peers.open(Udp::v4());
    node.peers.bind(local);
    node.peers.non_blocking(true);
    Internal::receiveNext(node, std::make_shared<std::vector<char>>(Internal::largestDatagram));
    Internal::scheduleReport(node);
}

} // namespace Edge
