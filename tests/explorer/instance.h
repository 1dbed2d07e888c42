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
    std::vector<std::size_t> initialReaders { 1, 0 };
    /// Ticks that are explored.
    unsigned horizon = 6;
    /// Processes that may restart.
    unsigned maxRestarts = 0;
    /// Messages that may be late at a time, for as long as the run lasts.
    unsigned maxLateMessages = 1;
    /// Whether requests other than grants may be late, too.
    bool allowLateRequests = false;
    /// Late messages that may arrive twice.
    unsigned maxDuplicates = 0;
    /// Ticks that one process's clock may miss.
    unsigned maxStalls = 0;
    /// Whether the upstreams check grants.
    bool checksGrants = true;
    /// Whether the successor may suspect the dispatcher.
    bool allowTakeover = true;
    /// Whether VMs and upstreams count among the processes that may restart.
    bool allowVmRestarts = true;
    bool allowUpstreamRestarts = true;
    /// Whether all records are in the log from the start; else each is appended at any time.
    bool areRecordsAppendedAtStart = true;
    /// Whether a later record is read only by the VMs that it names.
    bool onlyNamedVmsRead = false;
    /// Whether grants, and whether answers, may be late.
    bool allowLateGrants = true;
    bool allowLateResponses = true;
    /// Whether a granter may stop of its own accord.
    bool allowHandover = false;
    /// Whether the log may learn that formers are settled.
    bool allowRetirement = false;
    /// The first one is in force at the start; the others may be appended at any time, in order.
    std::vector<RecordPlan> records = std::vector<RecordPlan>(1);
    std::set<Ownership::Guard> waivedGuards {};
    HolderFault holderFault = HolderFault::None;
};

} // namespace Explorer
