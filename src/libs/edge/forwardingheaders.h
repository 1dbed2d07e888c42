#pragma once

#include <edge/forwardedrequest.h>
#include <edge/forwardingoutcome.h>
#include <relay/leavingnotice.h>

#include <boost/beast/http/fields.hpp>

#include <optional>

/// Headers of requests between two VMs of this system; no caller or upstream sees them.
namespace Edge {

void setForwardedRequest(boost::beast::http::fields& fields, const ForwardedRequest& forwarded);

/// Reads and removes the headers of a forwarded request. Returns nothing if they are missing or malformed.
std::optional<ForwardedRequest> takeForwardedRequest(boost::beast::http::fields& fields);

/// Sets what became of the request, and the availability zone of the VM that responds.
void setForwardingOutcome(
    boost::beast::http::fields& fields, ForwardingOutcome outcome, const Utils::ZoneId& zone);

/// Reads and removes the outcome. It is Unknown if it is missing or malformed.
ForwardingOutcome takeForwardingOutcome(boost::beast::http::fields& fields, Utils::ZoneId& zone);

/// Sets the upstream whose response, which says that it is leaving, is passed on.
void setForwardedLeaving(boost::beast::http::fields& fields, const Relay::LeavingNotice& notice);

/// Reads and removes that upstream. Returns nothing if it is missing or malformed.
std::optional<Relay::LeavingNotice> takeForwardedLeaving(boost::beast::http::fields& fields);

} // namespace Edge
