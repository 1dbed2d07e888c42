#include <platform/decodeerror.h>
#include <platform/fieldname.h>
#include <platform/jsonfields.h>
#include <platform/storecalls.h>
#include <platform/storeposition.h>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/leaf/error.hpp>

namespace Platform {

namespace http = boost::beast::http;
namespace json = boost::json;
namespace leaf = boost::leaf;

namespace Internal {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;
constexpr int httpVersion = 11;
/// The topics used here have a single partition.
constexpr std::string_view onlyPartition = "&part=0";

HttpRequest makeRequest(http::verb verb, const Routing::Endpoint& store, const std::string& target)
{
    HttpRequest request(verb, target, httpVersion);
    request.set(http::field::host, store.address + ":" + std::to_string(store.port));
    return request;
}

std::string makeTarget(std::string_view path, std::string_view topic)
{
    return std::string(path).append("?topic=").append(topic).append(onlyPartition);
}

std::string urlEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const unsigned char byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

leaf::error_id unreadableRecords()
{
    return leaf::new_error(DecodeError::Unreadable, FieldName { "records" });
}

template <typename Number> Number loadBigEndian(std::string_view bytes)
{
    return boost::endian::load_big_u64(reinterpret_cast<const unsigned char*>(bytes.data()));
}

std::uint32_t loadLength(std::string_view bytes)
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(bytes.data()));
}

/// Returns a malformed record without key and value instead of failing, so that the offsets of the records
/// after it stay right.
StoreRecord decodeKeyedRecord(std::string_view bytes, Utils::Offset offset)
{
    StoreRecord record { offset, {}, std::nullopt };
    if (bytes.empty())
        return record;
    const std::size_t keyBytes = static_cast<unsigned char>(bytes.front());
    if (bytes.size() < 1 + keyBytes)
        return record;
    record.key = std::string(bytes.substr(1, keyBytes));
    if (bytes.size() > 1 + keyBytes)
        record.value = std::string(bytes.substr(1 + keyBytes));
    return record;
}

leaf::result<std::string> decodeBase64(std::string_view text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    const std::pair<std::size_t, std::size_t> sizes = base64::decode(bytes.data(), text.data(), text.size());
    bytes.resize(sizes.first);
    return bytes;
}

/// Decodes \a item and appends the result to \a records. Its key may be empty, and is any bytes.
leaf::result<void> decodeItem(const json::value& item, std::vector<StoreRecord>& records)
{
    if (!item.is_object())
        return unreadableRecords();
    const json::object& object = item.get_object();
    const json::value* key = object.if_contains("key");
    if (!key || !key->is_string())
        return unreadableRecords();
    BOOST_LEAF_AUTO(offset, readUnsigned(object, "offset"));
    std::optional<std::string> bytes;
    const json::value* value = object.if_contains("value");
    if (value && value->is_string()) {
        BOOST_LEAF_AUTO(decoded, decodeBase64(std::string_view(value->get_string())));
        bytes = std::move(decoded);
    }
    records.push_back({ offset, std::string(key->get_string()), std::move(bytes) });
    return {};
}

} // namespace Internal

HttpRequest makeReadRequest(
    const Routing::Endpoint& store, std::string_view topic, Utils::Offset from, Utils::Duration wait)
{
    std::string target = Internal::makeTarget("/log-read", topic) + "&from=" + std::to_string(offsetOf(from));
    if (wait > Utils::Duration::zero())
        target += "&wait_ms=" + std::to_string(Utils::toMilliseconds(wait));
    return Internal::makeRequest(http::verb::get, store, target);
}

HttpRequest makeNewestRecordsRequest(
    const Routing::Endpoint& store, std::string_view topic, std::string_view after)
{
    std::string target = Internal::makeTarget("/log-newest", topic);
    if (!after.empty())
        target += "&after=" + Internal::urlEncoded(after);
    return Internal::makeRequest(http::verb::get, store, target);
}

HttpRequest makeAppendRequest(const Routing::Endpoint& store, const AppendParameters& parameters,
    const std::vector<std::string>& records)
{
    std::string target = Internal::makeTarget("/log-append", parameters.topic);
    if (parameters.expectedEnd)
        target += "&as_of=" + std::to_string(offsetOf(*parameters.expectedEnd));
    HttpRequest request = Internal::makeRequest(http::verb::post, store, target);
    for (const std::string& record : records) {
        std::string length(Internal::lengthBytes, '\0');
        boost::endian::store_big_u32(
            reinterpret_cast<unsigned char*>(length.data()), static_cast<std::uint32_t>(record.size()));
        request.body().append(length).append(record);
    }
    request.prepare_payload();
    return request;
}

std::string encodeKeyedRecord(std::string_view key, std::string_view value)
{
    std::string record(1, static_cast<char>(static_cast<unsigned char>(key.size())));
    return record.append(key).append(value);
}

StoreOutcome storeOutcomeForStatus(unsigned status)
{
    switch (status) {
    case 200:
        return StoreOutcome::Done;
    case 409:
        return StoreOutcome::Fenced;
    case 410:
        return StoreOutcome::Expired;
    case 412:
        return StoreOutcome::EndMoved;
    case 429:
    case 503:
    case 507:
        return StoreOutcome::Rejected;
    default:
        return StoreOutcome::Malformed;
    }
}

bool isKeyed(std::string_view topic) { return topic.starts_with("keyed."); }

leaf::result<StorePage> decodeReadResponse(
    std::string_view body, Utils::Offset from, bool keyed, std::uint64_t era)
{
    if (body.size() < 2 * Internal::offsetBytes)
        return Internal::unreadableRecords();
    StorePage page;
    page.endOffset = makePosition(era, Internal::loadBigEndian<Utils::Offset>(body));
    page.firstRetainedOffset
        = makePosition(era, Internal::loadBigEndian<Utils::Offset>(body.substr(Internal::offsetBytes)));
    body.remove_prefix(2 * Internal::offsetBytes);
    for (Utils::Offset offset = makePosition(era, offsetOf(from)); !body.empty(); ++offset) {
        if (body.size() < Internal::lengthBytes)
            return Internal::unreadableRecords();
        const std::uint32_t length = Internal::loadLength(body);
        body.remove_prefix(Internal::lengthBytes);
        if (body.size() < length)
            return Internal::unreadableRecords();
        const std::string_view bytes = body.substr(0, length);
        page.records.push_back(keyed ? Internal::decodeKeyedRecord(bytes, offset)
                                     : StoreRecord { offset, {}, std::string(bytes) });
        body.remove_prefix(length);
    }
    return page;
}

leaf::result<StorePage> decodeNewestRecordsResponse(std::string_view body, std::uint64_t era)
{
    BOOST_LEAF_AUTO(object, Internal::parseObject(body, Internal::TextEncoding::AnyBytes));
    StorePage page;
    BOOST_LEAF_ASSIGN(page.endOffset, Internal::readUnsigned(object, "end"));
    page.endOffset = makePosition(era, page.endOffset);
    BOOST_LEAF_ASSIGN(page.hasMore, Internal::readFlag(object, "more"));
    BOOST_LEAF_AUTO(items, Internal::readArray(object, "items"));
    for (const json::value& item : *items) {
        BOOST_LEAF_CHECK(Internal::decodeItem(item, page.records));
        page.records.back().offset = makePosition(era, page.records.back().offset);
    }
    return page;
}

leaf::result<Utils::Offset> decodeAppendResponse(std::string_view body, std::uint64_t era)
{
    BOOST_LEAF_AUTO(object, Internal::parseObject(body));
    BOOST_LEAF_AUTO(offset, Internal::readUnsigned(object, "offset"));
    return makePosition(era, offset);
}

leaf::result<Utils::Offset> decodeFirstRetainedOffset(std::string_view body, std::uint64_t era)
{
    BOOST_LEAF_AUTO(object, Internal::parseObject(body));
    BOOST_LEAF_AUTO(first, Internal::readUnsigned(object, "first"));
    return makePosition(era, first);
}

} // namespace Platform
