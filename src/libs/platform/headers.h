#pragma once

#include <platform/callerheaders.h>
#include <platform/serverheaders.h>

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>

/// Reads and writes the platform's headers of requests and responses.
namespace Platform {

using HttpFields = boost::beast::http::fields;

/// Reads the headers of a caller's request. Malformed numbers are treated as absent.
CallerHeaders parseCallerHeaders(const HttpFields& fields);

/// Reads the headers of a server's response. Malformed values are treated as absent.
ServerHeaders parseServerHeaders(unsigned status, const HttpFields& fields);

/// Whether \a status in a response to a caller states that the request has not run and never will.
bool isNotRunStatus(unsigned status);

/// Returns the era of the store that sent a response, if the response has one.
std::optional<std::uint64_t> parseStoreEra(const HttpFields& fields);

/// Sets the expected server and the remaining time on a forwarded request. The remaining time is sent as at
/// least 1 ms.
void setForwardingHeaders(
    HttpFields& fields, const Utils::UpstreamId& upstream, Utils::Duration remainingTime);

/// Sets the remaining time on a request; it is sent as at least 1 ms.
void setRemainingTime(HttpFields& fields, Utils::Duration remainingTime);

/// Sets the request's id on a local response. Does nothing if \a id is empty.
void setRequestId(HttpFields& fields, const Utils::RequestId& id);

/// Removes the hop-by-hop fields, among them those that the Connection field names, and the expected server,
/// which only this system may set.
void removeHopByHopFields(HttpFields& fields);

} // namespace Platform
