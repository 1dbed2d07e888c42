#pragma once

#include <gateway/holdererror.h>
#include <ownership/fencerequest.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

/// The JSON bodies of upstreams' control requests, see docs/INTERFACES.md.
namespace Gateway {

std::string encodeGrant(const Ownership::GrantRequest& request);

std::string encodeFence(const Ownership::FenceRequest& request);

/// An upstream's answer to a grant, a fence or a question for its state. Errors: HolderError.
boost::leaf::result<Ownership::HolderResponse> decodeHolderAnswer(std::string_view text);

} // namespace Gateway
