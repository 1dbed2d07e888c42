#include <platform/decodeerror.h>
#include <platform/endpointtext.h>
#include <platform/fieldname.h>
#include <platform/jsonfields.h>
#include <platform/upstreamdecoder.h>

#include <boost/leaf/error.hpp>

namespace Platform {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace Internal {

/// No server has more slots; larger numbers are considered mistakes.
constexpr std::uint64_t maxSlots = 4096;

leaf::result<bool> decodeDraining(const json::object& status)
{
    BOOST_LEAF_AUTO(state, readString(status, "state"));
    if (state != "ready" && state != "draining")
        return leaf::new_error(DecodeError::UnknownValue, FieldName { "state" });
    return state == "draining";
}

} // namespace Internal

leaf::result<Routing::UpstreamRecord> decodeUpstream(std::string_view id, std::string_view text)
{
    BOOST_LEAF_AUTO(object, Internal::parseObject(text));
    Routing::UpstreamRecord record;
    record.id = { std::string(id) };
    BOOST_LEAF_AUTO(address, Internal::readString(object, "address"));
    BOOST_LEAF_ASSIGN(record.endpoint, parseEndpoint(address));
    BOOST_LEAF_AUTO(info, Internal::readObject(object, "info"));
    BOOST_LEAF_ASSIGN(record.service.value, Internal::readString(*info, "service"));
    BOOST_LEAF_ASSIGN(record.zone.value, Internal::readString(*info, "zone"));
    BOOST_LEAF_AUTO(slots, Internal::readUnsigned(*info, "slots"));
    if (slots == 0 || slots > Internal::maxSlots)
        return leaf::new_error(DecodeError::OutOfRange, FieldName { "slots" });
    record.slots = static_cast<unsigned>(slots);
    BOOST_LEAF_AUTO(status, Internal::readObject(object, "status"));
    BOOST_LEAF_ASSIGN(record.draining, Internal::decodeDraining(*status));
    BOOST_LEAF_ASSIGN(record.sequence, Internal::readUnsigned(*status, "seq_no"));
    BOOST_LEAF_ASSIGN(record.remainingColdTime, Internal::readDuration(*status, "cold_left"));
    if (object.if_contains("born")) {
        BOOST_LEAF_ASSIGN(record.startTimeMs, Internal::readUnsigned(object, "born"));
    }
    return record;
}

} // namespace Platform
