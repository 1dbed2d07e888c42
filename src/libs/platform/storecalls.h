#pragma once

#include <platform/appendparameters.h>
#include <platform/storeoutcome.h>
#include <platform/storepage.h>
#include <routing/endpoint.h>
#include <utils/time.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

/// Builds requests for the platform's store and decodes its responses. Offsets of records are positions, see
/// storeposition.h.
namespace Platform {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Topics written by the operator and by the servers.
inline constexpr std::string_view operatorTopic = "keyed.op";
inline constexpr std::string_view serversTopic = "keyed.servers";
/// Key of the configuration record in operatorTopic.
inline constexpr std::string_view configurationKey = "config";

/// Builds a request for the records of \a topic from offset \a from on. The store waits up to \a wait for the
/// first of them.
HttpRequest makeReadRequest(
    const Routing::Endpoint& store, std::string_view topic, Utils::Offset from, Utils::Duration wait);

/// Builds a request for the newest record of each key of \a topic that sorts after the key \a after.
HttpRequest makeNewestRecordsRequest(
    const Routing::Endpoint& store, std::string_view topic, std::string_view after);

/// Builds a request that appends \a records atomically.
HttpRequest makeAppendRequest(const Routing::Endpoint& store, const AppendParameters& parameters,
    const std::vector<std::string>& records);

/// Encodes a record of a keyed topic. The key's length must fit in one byte.
std::string encodeKeyedRecord(std::string_view key, std::string_view value);

StoreOutcome storeOutcomeForStatus(unsigned status);

/// Returns whether the records of \a topic carry a key.
bool isKeyed(std::string_view topic);

/// Decodes the response to makeReadRequest(). Fails with a DecodeError.
/// \param from the position that was asked for.
/// \param era the era of the response; 0 if it has none.
boost::leaf::result<StorePage> decodeReadResponse(
    std::string_view body, Utils::Offset from, bool keyed, std::uint64_t era = 0);

/// Decodes the response to makeNewestRecordsRequest(). Fails with a DecodeError.
boost::leaf::result<StorePage> decodeNewestRecordsResponse(std::string_view body, std::uint64_t era = 0);

/// Decodes the response to makeAppendRequest(): the offset of the first appended record. Fails with a
/// DecodeError.
boost::leaf::result<Utils::Offset> decodeAppendResponse(std::string_view body, std::uint64_t era = 0);

/// Decodes the response to a read of expired records: the first offset that the store still retains. Fails
/// with a DecodeError.
boost::leaf::result<Utils::Offset> decodeFirstRetainedOffset(std::string_view body, std::uint64_t era = 0);

} // namespace Platform
