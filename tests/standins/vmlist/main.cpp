#include <standins/support/standinmain.h>
#include <standins/vmlist/vmlistservice.h>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Stand-in for the platform's list of VMs.", ' ', "0.1");
    TCLAP::ValueArg<std::string> listen("", "listen", "where to listen", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> vms("", "vms", "file with the first entries", false, "", "FILE", line);
    TCLAP::ValueArg<std::uint64_t> lag("", "lag-ms", "time until a change shows", false, 0, "ms", line);
    line.parse(argc, argv);

    boost::asio::io_context context(1);
    StandInVmList::VmListService service(context);
    service.faults.lagMs = lag.getValue();
    if (vms.isSet()) {
        std::ifstream file(vms.getValue());
        const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        if (!StandInVmList::loadEntries(service, text)) {
            std::cerr << "standinvmlist: " << vms.getValue() << " is no list of VMs\n";
            return EXIT_FAILURE;
        }
    }
    return StandInSupport::serveUntilStopped(
        context, "standinvmlist", listen.getValue(), StandInVmList::handlerOf(service));
}
