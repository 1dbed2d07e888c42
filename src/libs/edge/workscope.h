#pragma once

#include <balancing/concurrencylimit.h>
#include <balancing/workqueue.h>
#include <edge/guardedtimer.h>
#include <utils/ids.h>

namespace Edge {

/// Requests that share upstreams: those of a service and its home regions, or for the keys of one holder.
struct WorkScope {
    explicit WorkScope(boost::asio::io_context& context)
        : timer(context)
    {
    }

    Utils::ServiceId service;
    /// Whether the scope is that of one holder.
    bool isKeyed = false;
    Balancing::ConcurrencyLimit limit;
    Balancing::WorkQueue queue;
    /// Whether an upstream has reported its load.
    bool hasLoadReports = false;
    /// Whether waiting requests are about to be started.
    bool isStartPending = false;
    /// All upstreams were found full; nothing is sent until then.
    Utils::Instant fullUntil {};
    GuardedTimer timer;
};

} // namespace Edge
