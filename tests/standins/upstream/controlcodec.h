#pragma once

#include <ownership/fencerequest.h>
#include <ownership/grantrequest.h>
#include <ownership/holderresponse.h>

#include <optional>
#include <string>
#include <string_view>

/// The control messages in JSON, as the interface page states them.
namespace StandInUpstream {

std::optional<Ownership::GrantRequest> grantFrom(std::string_view body);
std::optional<Ownership::FenceRequest> fenceFrom(std::string_view body);
/// The system's id of the request to cancel.
std::optional<std::string> cancelFrom(std::string_view body);
std::string toJson(const Ownership::HolderResponse& answer);

} // namespace StandInUpstream
