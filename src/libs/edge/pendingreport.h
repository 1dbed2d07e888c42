#pragma once

#include <platform/storerecord.h>
#include <routing/upstreamrecord.h>
#include <utils/time.h>

namespace Edge {

/// A report that was read before a configuration named its service.
struct PendingReport {
    Routing::UpstreamRecord report;
    /// The record that \c report was decoded from.
    Platform::StoreRecord record;
    Utils::Instant receivedAt {};
};

} // namespace Edge
