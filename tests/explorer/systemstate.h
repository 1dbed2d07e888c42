#pragma once

#include "message.h"
#include "vm.h"

#include <agreement/poolassignment.h>
#include <ownership/holderstate.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace Explorer {

inline constexpr std::size_t vmCount = 3;

/// A state of the whole modelled system. Clocks are not stored: all points in time are shifted so that each
/// process always reads the same time.
struct SystemState {
    std::array<std::shared_ptr<const Vm>, vmCount> vms;
    std::array<Ownership::HolderState, upstreamCount> holders;
    /// The assignment after replaying the log up to each record.
    std::vector<std::shared_ptr<const Agreement::PoolAssignment>> log;
    /// Number of records of the instance's plan that were appended.
    std::size_t appendedRecordCount = 1;
    /// Messages sent within a step; empty between two steps.
    std::vector<Message> sendQueue;
    /// Late messages.
    std::vector<Message> lateMessages;
    std::uint8_t remainingRestarts = 0;
    std::uint8_t remainingDuplicates = 0;
    std::uint8_t remainingStalls = 0;
};

} // namespace Explorer
