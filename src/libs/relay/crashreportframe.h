#pragma once

#include <relay/crashreport.h>

#include <vector>

namespace Relay {

/// Shares observations of requests that crash upstreams. Sent over relay links in both directions, and in
/// datagrams between VMs while there is no leader.
struct CrashReportFrame {
    std::vector<CrashReport> reports;

    bool operator==(const CrashReportFrame&) const = default;
};

} // namespace Relay
