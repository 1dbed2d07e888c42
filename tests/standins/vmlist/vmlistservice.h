#pragma once

#include <standins/support/httphandler.h>
#include <standins/vmlist/vmchange.h>
#include <standins/vmlist/vmlistfaults.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

/// The stand-in for the platform's list of VMs; see the interface page for its contract.
namespace StandInVmList {

/// The list as it shows now, and the changes that lag.
struct VmListService {
    explicit VmListService(boost::asio::io_context& ioContext)
        : context(ioContext)
    {
    }

    boost::asio::io_context& context;
    VmListFaults faults;
    std::map<std::string, boost::json::object> entries;
    std::deque<VmChange> changes;
    /// Timers of the answers that are held up.
    std::map<std::uint64_t, boost::asio::steady_timer> delays;
    std::uint64_t lastDelay = 0;
};

/// Puts all entries of \a text, in the form of the list's own answer, on the list at once.
bool loadEntries(VmListService& service, const std::string& text);

/// Answers "/vms", "/vms/{name}" and "/faults".
StandInSupport::HttpHandler handlerOf(VmListService& service);

} // namespace StandInVmList
