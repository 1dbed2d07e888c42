#include <commands/vmarguments.h>

#include <commands/commandsconstants.h>
#include <commands/logarguments.h>
#include <commands/vmstandings.h>
#include <logservice/vmlistclient.h>

#include <boost/leaf/handle_errors.hpp>

namespace leaf = boost::leaf;

namespace Commands::Internal {

namespace {

constexpr std::uint16_t defaultAdminPort = 8082;

} // namespace

VmArguments::VmArguments(TCLAP::CmdLine& line)
    : vms("", "vms", "IP:PORT of the VM list (or CROCUSFERRY_VM_LIST)", false,
        environmentOr("CROCUSFERRY_VM_LIST", ""), "IP:PORT", line)
    , adminPort(
          "", "admin-port", "Port on which the VMs give their status", false, defaultAdminPort, "PORT", line)
{
}

std::optional<std::vector<VmStanding>> askListedVms(
    const VmArguments& arguments, const LogService::Endpoint& list, Console& console)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<std::vector<VmStanding>>> {
            BOOST_LEAF_AUTO(entries, LogService::listVms(list, callTimeout));
            return std::optional<std::vector<VmStanding>>(askVms(entries, arguments.adminPort.getValue()));
        },
        [&](LogService::PlatformError error) -> std::optional<std::vector<VmStanding>> {
            console.error << "VM list: " << Utils::enumName(LogService::platformErrorNames, error) << '\n';
            return std::nullopt;
        },
        []() -> std::optional<std::vector<VmStanding>> { return std::nullopt; });
}

} // namespace Commands::Internal
