#pragma once

#include <requests/outcome.h>
#include <requests/reason.h>
#include <utils/time.h>

#include <string>

namespace Gateway {

/// The answer to a request that was not done.
struct FinalAnswer {
    Requests::Outcome outcome = Requests::Outcome::NotRun;
    Requests::Reason reason = Requests::Reason::None;
    /// When to come back.
    Utils::Duration retryAfter {};
};

/// The HTTP status of \a answer, as docs/INTERFACES.md lists it.
unsigned statusOf(const FinalAnswer& answer);

/// The JSON body of \a answer.
std::string bodyOf(const FinalAnswer& answer);

} // namespace Gateway
