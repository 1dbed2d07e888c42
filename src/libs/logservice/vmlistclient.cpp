#include <logservice/answerfields.h>
#include <logservice/httpcall.h>
#include <logservice/httpstatuscodes.h>
#include <logservice/platformconstants.h>
#include <logservice/vmlistclient.h>

#include <boost/asio/ip/address.hpp>
#include <boost/leaf/error.hpp>

#include <limits>
#include <set>

namespace LogService {

namespace leaf = boost::leaf;

namespace Internal {

namespace json = boost::json;

leaf::result<std::uint16_t> portIn(const json::object& object, std::string_view name)
{
    BOOST_LEAF_ASSIGN(const std::uint64_t port, numberIn(object, name));
    if (port == 0 || port > std::numeric_limits<std::uint16_t>::max())
        return leaf::new_error(PlatformError::Malformed);
    return static_cast<std::uint16_t>(port);
}

leaf::result<std::string> addressIn(const json::object& object)
{
    BOOST_LEAF_ASSIGN(std::string address, nameIn(object, "address", maxNameBytes));
    boost::system::error_code failure;
    boost::asio::ip::make_address(address, failure);
    if (failure)
        return leaf::new_error(PlatformError::Malformed);
    return address;
}

leaf::result<VmEntry> vmEntryFrom(const json::value& value)
{
    const json::object* const object = value.if_object();
    if (!object)
        return leaf::new_error(PlatformError::Malformed);
    VmEntry entry;
    BOOST_LEAF_ASSIGN(entry.vm.value, nameIn(*object, "name", maxNameBytes));
    BOOST_LEAF_ASSIGN(entry.zone.value, nameIn(*object, "zone", maxNameBytes));
    BOOST_LEAF_ASSIGN(entry.region.value, nameIn(*object, "region", maxNameBytes));
    BOOST_LEAF_ASSIGN(entry.address, addressIn(*object));
    BOOST_LEAF_ASSIGN(entry.callerPort, portIn(*object, "caller_port"));
    BOOST_LEAF_ASSIGN(entry.peerPort, portIn(*object, "peer_port"));
    BOOST_LEAF_ASSIGN(const std::string stateName, nameIn(*object, "state", maxNameBytes));
    const std::optional<VmState> state = Utils::enumFromName(vmStateNames, stateName);
    if (!state)
        return leaf::new_error(PlatformError::Malformed);
    entry.state = *state;
    return entry;
}

leaf::result<std::vector<VmEntry>> vmEntriesFrom(const HttpAnswer& answer)
{
    BOOST_LEAF_ASSIGN(const json::object object, parseAnswer(answer));
    BOOST_LEAF_ASSIGN(const json::array* const array, arrayIn(object, "vms"));
    if (array->size() > maxVms)
        return leaf::new_error(PlatformError::AnswerTooLarge);
    std::vector<VmEntry> entries;
    entries.reserve(array->size());
    std::set<Utils::VmId> names;
    for (const json::value& value : *array) {
        BOOST_LEAF_ASSIGN(VmEntry entry, vmEntryFrom(value));
        if (!names.insert(entry.vm).second)
            return leaf::new_error(PlatformError::Malformed);
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace Internal

leaf::result<std::vector<VmEntry>> listVms(const Endpoint& endpoint, Utils::Duration timeout)
{
    BOOST_LEAF_ASSIGN(const Internal::HttpAnswer answer,
        Internal::callHttp(endpoint, Internal::HttpMethod::Get, "/vms", {}, timeout));
    if (answer.status == Internal::statusUnavailable)
        return leaf::new_error(PlatformError::Unavailable);
    if (answer.status != Internal::statusOk)
        return leaf::new_error(PlatformError::UnexpectedStatus, HttpStatus { answer.status });
    return Internal::vmEntriesFrom(answer);
}

} // namespace LogService
