#pragma once

#include <platform/callerterms.h>
#include <platform/servertold.h>

#include <boost/beast/http/fields.hpp>

/// The platform's headers in requests and answers.
namespace Platform {

using HttpFields = boost::beast::http::fields;

/// Reads what a caller said. Numbers that can't be read are left out.
CallerTerms readCallerTerms(const HttpFields& fields);

/// Reads what a server said.
ServerTold readServerTold(unsigned status, const HttpFields& fields);

/// Sets on a forwarded request which server it is meant for and how much time is left.
void setServerTerms(HttpFields& fields, const Utils::UpstreamId& upstream, Utils::Duration left);

/// Sets the request's id on an answer of our own.
void setRequestId(HttpFields& fields, const Utils::RequestId& id);

/// Removes what concerns one connection only, and what the system sets itself.
void removeConnectionFields(HttpFields& fields);

} // namespace Platform
