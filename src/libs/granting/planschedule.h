#pragma once

#include <utils/time.h>

namespace Granting {

/// Time between two plans while nothing has changed.
inline constexpr Utils::Duration planInterval = std::chrono::milliseconds(700);
/// Time between two plans, each of which is written, while holders are confirmed.
inline constexpr Utils::Duration confirmationPlanInterval = std::chrono::milliseconds(90);
/// Time between two plans while reports show an upstream that is offered more than it can serve.
inline constexpr Utils::Duration overloadPlanInterval = std::chrono::milliseconds(300);
/// Time until the leader sends the calls that a response has made due. Responses that arrive together share
/// one pass over the segments.
inline constexpr Utils::Duration nextCallDelay = std::chrono::milliseconds(10);
/// Time between two load reports of a VM. A relay reports more often, as its subscribers' requests have
/// waited already.
inline constexpr Utils::Duration loadReportInterval = std::chrono::milliseconds(500);
inline constexpr Utils::Duration relayedLoadReportInterval = std::chrono::milliseconds(250);

} // namespace Granting
