#include <declarations/internal/objectparsers.h>

#include <declarations/declarationsconstants.h>
#include <declarations/internal/fieldvalues.h>

#include <boost/asio/ip/address.hpp>
#include <boost/json/array.hpp>

#include <string>
#include <utility>

namespace Declarations::Internal {

namespace {

void readAddress(FieldReader& reader, std::string& target)
{
    std::string text;
    readText(reader, "address", Need::Required, text);
    if (!reader.origin.sound && text.empty())
        return;
    boost::system::error_code error;
    const boost::asio::ip::address address = boost::asio::ip::make_address(text, error);
    const bool usable = !error && !address.is_unspecified() && !address.is_multicast()
        && text.find('%') == std::string::npos;
    if (!usable) {
        reportUnreadable(reader, FaultCode::BadAddress, "address", "must be the IP number of one machine");
        return;
    }
    target = address.to_string();
}

Upstream readUpstream(FieldReader& reader)
{
    Upstream upstream;
    upstream.id.value = reader.ref.name;
    readReference(reader, "zone", upstream.zone);
    readAddress(reader, upstream.address);
    unsigned port = 0;
    readUnsigned(reader, "port", Need::Required, { 1, maxPort }, port);
    upstream.port = static_cast<std::uint16_t>(port);
    readUnsigned(reader, "slots", Need::Optional, { 1, maxSlots }, upstream.slots);
    readUnsigned(reader, "connections", Need::Optional, { 1, maxConnections }, upstream.connections);
    readFlag(reader, "checks_grants", upstream.checksGrants);
    readFlag(reader, "leaving", upstream.leaving);
    return upstream;
}

void parseUpstream(FieldReader& reader, UpstreamPool& pool, Origins& origins)
{
    reader.ref.kind = ObjectKind::Upstream;
    reader.ref.name.clear();
    if (!readObjectName(reader))
        return;
    Upstream upstream = readUpstream(reader);
    reportUnknownFields(reader);
    if (!origins.emplace(reader.ref, reader.origin).second) {
        report(reader, FaultCode::DuplicateName, "name", "another upstream has this name");
        return;
    }
    pool.upstreams[upstream.id] = std::move(upstream);
}

void parseUpstreams(FieldReader& reader, const boost::json::array& list, UpstreamPool& pool, Origins& origins)
{
    const std::string place = pointerTo(reader.origin.place, "upstreams");
    std::size_t index = 0;
    for (const boost::json::value& entry : list) {
        const Origin origin { reader.origin.file, pointerTo(place, std::to_string(index)), true };
        index += 1;
        if (!entry.is_object()) {
            reader.faults.push_back({ FaultCode::WrongType, origin.file, origin.place, reader.ref.kind,
                reader.ref.name, "must be an object" });
            continue;
        }
        FieldReader inner { entry.get_object(), reader.ref, origin, reader.faults };
        parseUpstream(inner, pool, origins);
    }
    // An upstream that could not be read may be the one that the pool needs.
    if (pool.upstreams.size() != list.size())
        reader.origin.sound = false;
}

} // namespace

void parseUpstreamPool(FieldReader& reader, Configuration& configuration, Origins& origins)
{
    UpstreamPool pool;
    pool.id.value = reader.ref.name;
    readReference(reader, "region", pool.region);
    const boost::json::value* list = requireField(reader, "upstreams");
    if (list && list->is_array())
        parseUpstreams(reader, list->get_array(), pool, origins);
    if (list && !list->is_array())
        reportUnreadable(reader, FaultCode::WrongType, "upstreams", "must be a list");
    configuration.pools[pool.id] = std::move(pool);
}

} // namespace Declarations::Internal
