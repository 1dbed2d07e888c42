#include <platform/decodeerror.h>
#include <platform/endpointtext.h>
#include <platform/fieldname.h>
#include <platform/jsonfields.h>
#include <platform/upstreamdecoder.h>

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace Platform {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace Internal {

/// No server has more slots; larger numbers are considered mistakes.
constexpr std::uint64_t maxSlots = 4096;
/// Entries are a few hundred bytes; larger ones are considered mistakes, and would fill the links between
/// VMs.
constexpr std::size_t maxEntryBytes = 65536;
/// More reports than any upstream writes.
constexpr std::uint64_t maxSequence = std::uint64_t(1) << 40;
/// Cold starts take seconds.
constexpr Utils::Duration maxColdTime = std::chrono::hours(1);

/// Whether \a id can be sent in a header field.
bool isPlausibleId(std::string_view id)
{
    return !id.empty() && std::all_of(id.begin(), id.end(), [](char character) {
        return character > ' ' && character <= '~';
    });
}

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
    if (!Internal::isPlausibleId(id))
        return leaf::new_error(DecodeError::Unreadable, FieldName { "key" });
    if (text.size() > Internal::maxEntryBytes)
        return leaf::new_error(DecodeError::OutOfRange, FieldName { "entry" });
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
    if (record.sequence > Internal::maxSequence)
        return leaf::new_error(DecodeError::OutOfRange, FieldName { "seq_no" });
    BOOST_LEAF_ASSIGN(record.remainingColdTime, Internal::readDuration(*status, "cold_left"));
    if (record.remainingColdTime > Internal::maxColdTime)
        return leaf::new_error(DecodeError::OutOfRange, FieldName { "cold_left" });
    if (object.if_contains("born")) {
        BOOST_LEAF_ASSIGN(record.startTimeMs, Internal::readUnsigned(object, "born"));
    }
    return record;
}

} // namespace Platform
