#pragma once

#include <logservice/vmentry.h>
#include <utils/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Commands {

/// One pool that a VM has a part in.
struct PoolDuty {
    Utils::PoolId pool;
    /// What it does for the pool, in the words of its status: "granting", "standby".
    std::string role;
    std::uint64_t servedShards = 0;
    std::uint64_t shards = 0;
};

/// Where one VM stands, by its own word.
struct VmStanding {
    LogService::VmEntry entry;
    /// Whether it answered; if not, the rest is empty.
    bool answered = false;
    /// Name of the error when it did not answer.
    std::string failure;
    /// Offset of the last record that it judged.
    Utils::Offset applied = 0;
    Utils::Offset configurationOffset = 0;
    std::string logStatus;
    bool leaving = false;
    std::vector<PoolDuty> duties;
};

/// Whether \a standing is behind configuration \a inForce, or gave no answer.
inline bool isLagging(const VmStanding& standing, Utils::Offset inForce)
{
    return !standing.answered || standing.configurationOffset < inForce;
}

} // namespace Commands
