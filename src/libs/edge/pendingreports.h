#pragma once

#include <edge/node.h>
#include <edge/pendingreport.h>
#include <platform/storepage.h>

#include <set>
#include <string>
#include <vector>

/// Reports of services that the configuration in force does not name.
///
/// They may come from another writer, under the id or with the address of a live upstream, so they are kept
/// apart from the directory. A later configuration may name their service: the records of operators and of
/// upstreams are read independently of each other.
namespace Edge {

/// Whether \a report may be applied to the directory: the configuration in force names its service, or did so
/// when an earlier report of the same upstream was applied.
bool isServiceNamed(const Node& node, const Routing::UpstreamRecord& report);

/// Keeps the last report of each upstream and service. The oldest ones are dropped when they use too much
/// memory.
void keepPendingReport(Node& node, Routing::UpstreamRecord report, const Platform::StoreRecord& record);

/// Takes the reports whose service is named now, in the order of their offsets. Those that are too old to
/// tell whether the upstream still runs are dropped.
std::vector<PendingReport> takeNamedReports(Node& node);

/// Drops the reports of \a upstream, which has been removed from the store.
void dropPendingReports(Node& node, const Utils::UpstreamId& upstream);

/// Drops the reports of all upstreams that are not in \a upstreams.
void keepOnlyPendingReportsOf(Node& node, const std::set<std::string>& upstreams);

} // namespace Edge
