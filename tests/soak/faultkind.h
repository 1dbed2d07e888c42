#pragma once

#include <utils/enumtable.h>

#include <array>

namespace Soak {

/// Faults that a run injects.
enum class FaultKind {
    VmKilled,
    LeaderKilled,
    VmStopped,
    VmPaused,
    AllVmsKilled,
    StoreAway,
    StoreSilent,
    StoreAnswersLost,
    StoreCutFromVm,
    StoreSlow,
    StoreReturned,
    UpstreamCrashed,
    UpstreamDrained,
    UpstreamSilenced,
    UpstreamReset,
    UpstreamFails,
    ConfigurationChanged,
    Poison,
    VmsPartitioned,
    UnreportedRestart,
};

inline constexpr std::array<Utils::EnumName<FaultKind>, 20> faultKindNames { {
    { FaultKind::VmKilled, "vm_killed" },
    { FaultKind::LeaderKilled, "leader_killed" },
    { FaultKind::VmStopped, "vm_stopped" },
    { FaultKind::VmPaused, "vm_paused" },
    { FaultKind::AllVmsKilled, "all_vms_killed" },
    { FaultKind::StoreAway, "store_away" },
    { FaultKind::StoreSilent, "store_silent" },
    { FaultKind::StoreAnswersLost, "store_answers_lost" },
    { FaultKind::StoreCutFromVm, "store_cut_from_vm" },
    { FaultKind::StoreSlow, "store_slow" },
    { FaultKind::StoreReturned, "store_returned" },
    { FaultKind::UpstreamCrashed, "upstream_crashed" },
    { FaultKind::UpstreamDrained, "upstream_drained" },
    { FaultKind::UpstreamSilenced, "upstream_silenced" },
    { FaultKind::UpstreamReset, "upstream_reset" },
    { FaultKind::UpstreamFails, "upstream_fails" },
    { FaultKind::ConfigurationChanged, "configuration_changed" },
    { FaultKind::Poison, "poison" },
    { FaultKind::VmsPartitioned, "vms_partitioned" },
    { FaultKind::UnreportedRestart, "unreported_restart" },
} };

} // namespace Soak
