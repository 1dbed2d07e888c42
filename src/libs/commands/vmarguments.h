#pragma once

#include <commands/console.h>
#include <commands/vmstanding.h>
#include <logservice/endpoint.h>

#include <tclap/CmdLine.h>
#include <tclap/ValueArg.h>

#include <optional>
#include <string>
#include <vector>

namespace Commands::Internal {

/// The arguments of every command that asks the VMs.
struct VmArguments {
    explicit VmArguments(TCLAP::CmdLine& line);

    TCLAP::ValueArg<std::string> vms;
    TCLAP::ValueArg<std::uint16_t> adminPort;
};

/// Reads the VM list and asks every VM on it; nothing, and a complaint, when the list can't be read.
std::optional<std::vector<VmStanding>> askListedVms(
    const VmArguments& arguments, const LogService::Endpoint& list, Console& console);

} // namespace Commands::Internal
