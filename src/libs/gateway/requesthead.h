#pragma once

#include <declarations/configuration.h>
#include <gateway/callerrequest.h>
#include <gateway/httphead.h>
#include <gateway/requestfault.h>

#include <boost/leaf.hpp>

#include <string_view>

/// Checks callers' requests against docs/INTERFACES.md.
namespace Gateway {

/// The request that \a head announces, its body still missing. Errors: RequestFault.
boost::leaf::result<CallerRequest> readRequestHead(
    const HttpHead& head, const Declarations::Configuration& configuration);

/// Whether \a name belongs to one connection only and is not passed on.
bool isHopHeader(std::string_view name);

/// Whether the system sets \a name itself on work for upstreams.
bool isSystemHeader(std::string_view name);

} // namespace Gateway
