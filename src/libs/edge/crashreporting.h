#pragma once

#include <edge/queuedcrashreport.h>
#include <relay/datagrambudget.h>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace Edge {

/// State of the exchange of crash reports with other VMs.
struct CrashReporting {
    explicit CrashReporting(boost::asio::io_context& context)
        : socket(context)
    {
    }

    /// Larger than any datagram that a VM sends.
    static constexpr std::size_t receiveBufferBytes = 2048;

    /// Receives reports of VMs that have no link to a relay source.
    boost::asio::ip::udp::socket socket;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, receiveBufferBytes> receiveBuffer {};
    /// Reports that may not have reached the other VMs yet, the oldest first.
    std::deque<QueuedCrashReport> queue;
    std::uint64_t lastReportNumber = 0;
    Relay::DatagramBudget datagramBudget;
    /// Number of members that datagrams have been sent to; the next ones in turn follow.
    std::size_t datagramsSent = 0;
    /// When an upstream was last found to have terminated without notice.
    Utils::Instant lastVanishedAt {};
    /// Number of first crashes that may be reported now, as of tokensAt.
    double tokens = 0;
    Utils::Instant tokensAt {};
    /// The same for reports that withdraw crashes.
    double lifeTokens = 0;
    Utils::Instant lifeTokensAt {};
};

} // namespace Edge
