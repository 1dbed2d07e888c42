#pragma once

#include "holderfault.h"
#include "recordplan.h"

#include <ownership/guard.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Explorer {

/// A small system to be explored to its end, and the bounds of what goes wrong in it. Times are in ticks.
struct Instance {
    std::string name;
    unsigned lease = 2;
    unsigned proofWindow = 1;
    unsigned suspectAfter = 1;
    unsigned driftPerMille = 0;
    unsigned maxInFlight = 2;
    /// VMs that have read the first record before the exploration begins; their messages arrived.
    std::vector<std::size_t> warm { 1, 0 };
    /// Ticks that are explored.
    unsigned horizon = 6;
    /// Processes that may restart.
    unsigned restarts = 0;
    /// Messages that may be late at a time, for as long as the run lasts.
    unsigned late = 1;
    /// Whether requests other than grants may be late, too.
    bool lateRequests = false;
    /// Late messages that may arrive twice.
    unsigned repeats = 0;
    /// Ticks that one process's clock may miss.
    unsigned stalls = 0;
    /// Whether the upstreams check grants.
    bool checksGrants = true;
    /// Whether the successor may suspect the dispatcher.
    bool takeOvers = true;
    /// Whether VMs and upstreams count among the processes that may restart.
    bool vmRestarts = true;
    bool upstreamRestarts = true;
    /// Whether all records are in the log from the start; else each is appended at any time.
    bool appended = true;
    /// Whether a later record is read only by the VMs that it names.
    bool onlyNamedRead = false;
    /// Whether grants, and whether answers, may be late.
    bool lateGrants = true;
    bool lateAnswers = true;
    /// Whether a granter may stop of its own accord.
    bool handOver = false;
    /// Whether the log may learn that formers are settled.
    bool settles = false;
    /// The first one is in force at the start; the others may be appended at any time, in order.
    std::vector<RecordPlan> records = std::vector<RecordPlan>(1);
    std::set<Ownership::Guard> waived {};
    HolderFault fault = HolderFault::None;
};

} // namespace Explorer
