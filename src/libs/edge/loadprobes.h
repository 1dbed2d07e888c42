#pragma once

#include <balancing/candidate.h>
#include <edge/exchange.h>
#include <edge/node.h>
#include <utils/time.h>

#include <memory>
#include <vector>

/// Asking upstreams for their load before a request is sent to one of them.
namespace Edge {

/// Asks some of the \a candidates for their load, unless this has been done for the next attempt of
/// \a exchange. Returns whether responses are awaited; the attempt is started again then.
bool probeCandidates(Node& node, const std::shared_ptr<Exchange>& exchange,
    const std::vector<Balancing::Candidate>& candidates, Utils::Instant now);

/// Leaves the candidates that have told their load, if there are any.
void keepProbed(const Exchange& exchange, std::vector<Balancing::Candidate>& candidates);

/// Forgets what was asked, once an upstream has been chosen or the exchange has ended.
void endProbing(Exchange& exchange);

} // namespace Edge
