#pragma once

#include <platform/callerheaders.h>
#include <platform/serverheaders.h>

#include <boost/beast/http/fields.hpp>

/// The platform's headers in requests and answers.
namespace Platform {

using HttpFields = boost::beast::http::fields;

/// Reads what a caller said. Numbers that can't be read are left out.
CallerHeaders parseCallerHeaders(const HttpFields& fields);

/// Reads what a server said.
ServerHeaders parseServerHeaders(unsigned status, const HttpFields& fields);

/// Sets on a forwarded request which server it is meant for and how much time is left.
void setForwardingHeaders(HttpFields& fields, const Utils::UpstreamId& upstream, Utils::Duration left);

/// Sets the request's id on an answer of our own.
void setRequestId(HttpFields& fields, const Utils::RequestId& id);

/// Removes what concerns one connection only, and what the system sets itself.
void removeHopByHopFields(HttpFields& fields);

} // namespace Platform
