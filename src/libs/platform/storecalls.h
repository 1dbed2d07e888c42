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

/// The calls of the platform's store: how each is written, and how its answer is read.
namespace Platform {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Topics that the operator and the servers write.
inline constexpr std::string_view operatorTopic = "keyed.op";
inline constexpr std::string_view serversTopic = "keyed.servers";
/// The key under which the operator keeps the configuration.
inline constexpr std::string_view configurationKey = "config";

/// Reads records of \a topic from \a from on, waiting up to \a wait for the first.
HttpRequest makeReadRequest(
    const Routing::Endpoint& store, std::string_view topic, Utils::Offset from, Utils::Duration wait);

/// Reads the newest record of each key of \a topic that follows \a after.
HttpRequest makeNewestRecordsRequest(
    const Routing::Endpoint& store, std::string_view topic, std::string_view after);

/// Adds \a records, all or none.
HttpRequest makeAppendRequest(
    const Routing::Endpoint& store, const AppendParameters& terms, const std::vector<std::string>& records);

/// A record of a topic with keys.
std::string encodeKeyedRecord(std::string_view key, std::string_view value);

StoreOutcome storeOutcomeForStatus(unsigned status);

/// Whether records of \a topic carry a key.
bool isKeyed(std::string_view topic);

/// Reads the answer of makeReadRequest(). Fails with a DecodeError.
boost::leaf::result<StorePage> decodeReadResponse(std::string_view body, Utils::Offset from, bool keyed);

/// Reads the answer of makeNewestRecordsRequest(). Fails with a DecodeError.
boost::leaf::result<StorePage> decodeNewestRecordsResponse(std::string_view body);

/// The offset of the first appended record. Fails with a DecodeError.
boost::leaf::result<Utils::Offset> decodeAppendResponse(std::string_view body);

/// The first offset that is still kept, from the answer to a read below it. Fails with a DecodeError.
boost::leaf::result<Utils::Offset> decodeFirstRetainedOffset(std::string_view body);

} // namespace Platform
