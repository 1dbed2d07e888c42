#pragma once

#include <edge/exchange.h>
#include <edge/forwardingoutcome.h>
#include <edge/node.h>

#include <memory>

/// Hands requests to other VMs while this one reaches no upstream. A VM that gets such a request sends it to
/// an upstream itself or declines; it never hands it on.
namespace Edge {

/// Port on which a VM accepts forwarded requests, next to that of the relay; 0 if the settings reserve none.
std::uint16_t forwardingPort(const Routing::VmSettings& settings);

/// Whether the request of \a exchange has to go by way of another VM.
bool isForwardingNeeded(const Node& node, const Exchange& exchange);

/// Hands the request to another VM. handleForwardingOutcome() is called once, never before this function
/// returns, unless abandonForwarding() is called first. Returns false if no VM can be asked now.
bool forwardToPeer(Node& node, const std::shared_ptr<Exchange>& exchange);

/// Aborts the call to the other VM, so that it cancels the request.
void abandonForwarding(Node& node, Exchange& exchange);

/// Whether this VM may send a request that another VM forwards to it to upstreams.
bool canServeForwarded(const Node& node, const ForwardedRequest& forwarded);

/// Outcome that this VM reports for a forwarded request that it has rejected itself.
ForwardingOutcome forwardingOutcomeFor(const LocalResponse& response);

} // namespace Edge
