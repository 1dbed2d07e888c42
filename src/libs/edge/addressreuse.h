#pragma once

#include <edge/node.h>

namespace Edge {

/// \a other answers at the address of \a upstream, which has ended therefore: no request is sent there any
/// more, here at once and by the leader's word everywhere, and its keys are free.
///
/// Load pattern: upstreams fall silent together and their addresses go to another service, which would see
/// every request for their keys as a repeat.
void recordAddressReuse(Node& node, const Utils::UpstreamId& upstream, const Utils::UpstreamId& other);

/// Takes another VM's word that \a upstream has ended, if nothing later is known of it than \a offset.
void handleTerminationReport(Node& node, const Utils::UpstreamId& upstream, Utils::Offset offset);

} // namespace Edge
