#include <standins/vmlist/vmlistservice.h>

#include <string_view>

namespace StandInVmList {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using StandInSupport::HttpReply;
using StandInSupport::HttpRequest;

namespace {

constexpr std::string_view entryPath = "/vms/";
constexpr std::size_t overlongBytes = std::size_t(9) << 20;

void showDueChanges(VmListService& service, Clock::time_point now)
{
    while (!service.changes.empty() && service.changes.front().showsAt <= now) {
        const VmChange& change = service.changes.front();
        if (change.entry)
            service.entries[change.name] = *change.entry;
        else
            service.entries.erase(change.name);
        service.changes.pop_front();
    }
}

HttpReply showList(VmListService& service)
{
    showDueChanges(service, Clock::now());
    json::array vms;
    for (const std::pair<const std::string, json::object>& entry : service.entries)
        vms.emplace_back(entry.second);
    HttpReply reply { 200, json::serialize(json::object { { "vms", std::move(vms) } }) };
    if (StandInSupport::takeOne(service.faults.malformedNext))
        reply.body = "{\"vms\":";
    if (StandInSupport::takeOne(service.faults.overlongNext))
        reply.body = std::string(overlongBytes, ' ');
    reply.truncate = StandInSupport::takeOne(service.faults.truncateNext);
    return reply;
}

HttpReply changeEntry(VmListService& service, const std::string& name, const HttpRequest& request)
{
    VmChange change { Clock::now() + std::chrono::milliseconds(service.faults.lagMs), name, std::nullopt };
    if (request.method == "POST") {
        json::error_code failure;
        const json::value value = json::parse(request.body, failure);
        if (failure || !value.is_object())
            return { 400, "{}" };
        change.entry = value.get_object();
        (*change.entry)["name"] = name;
    } else if (request.method != "DELETE") {
        return { 405, "{}" };
    }
    service.changes.push_back(std::move(change));
    return { 200, "{}" };
}

HttpReply serveFaults(VmListService& service, const HttpRequest& request)
{
    if (request.method == "POST"
        && !StandInSupport::setFaults(service.faults, vmListFaultTable, request.body))
        return { 400, "{}" };
    return { 200, StandInSupport::showFaults(service.faults, vmListFaultTable) };
}

HttpReply answerNow(VmListService& service, const HttpRequest& request)
{
    if (request.path == "/faults")
        return serveFaults(service, request);
    if (request.path.starts_with(entryPath) && request.path.size() > entryPath.size())
        return changeEntry(service, request.path.substr(entryPath.size()), request);
    if (request.path != "/vms" || request.method != "GET")
        return { 404, "{}" };
    return service.faults.outage != 0 ? HttpReply { 503, "{}" } : showList(service);
}

void serve(VmListService& service, const HttpRequest& request, StandInSupport::ReplyFunction reply)
{
    if (service.faults.slowMs == 0 || request.path != "/vms") {
        reply(answerNow(service, request));
        return;
    }
    const std::uint64_t number = ++service.lastDelay;
    asio::steady_timer& timer = service.delays.emplace(number, service.context).first->second;
    timer.expires_after(std::chrono::milliseconds(service.faults.slowMs));
    timer.async_wait(
        [&service, number, request, reply = std::move(reply)](const boost::system::error_code& error) {
            if (error)
                return;
            service.delays.erase(number);
            reply(answerNow(service, request));
        });
}

} // namespace

bool loadEntries(VmListService& service, const std::string& text)
{
    json::error_code failure;
    const json::value value = json::parse(text, failure);
    const json::object* const object = failure ? nullptr : value.if_object();
    const json::value* const vms = object ? object->if_contains("vms") : nullptr;
    if (!vms || !vms->is_array())
        return false;
    for (const json::value& entry : vms->get_array()) {
        const json::value* const name = entry.is_object() ? entry.get_object().if_contains("name") : nullptr;
        if (!name || !name->is_string())
            return false;
        service.entries[std::string(name->get_string())] = entry.get_object();
    }
    return true;
}

StandInSupport::HttpHandler handlerOf(VmListService& service)
{
    return [&service](const HttpRequest& request, StandInSupport::ReplyFunction reply) {
        serve(service, request, std::move(reply));
    };
}

} // namespace StandInVmList
