#pragma once

#include <gateway/configurationchanged.h>
#include <gateway/drainrequested.h>
#include <gateway/servingchanged.h>
#include <gateway/submitwork.h>
#include <gateway/upstreamreported.h>
#include <gateway/workcancelled.h>
#include <gateway/workfinished.h>

#include <variant>

namespace Gateway {

/// What other duties tell the dispatch duty.
using DispatchEvent = std::variant<SubmitWork, WorkFinished, WorkCancelled, ServingChanged,
    ConfigurationChanged, UpstreamReported, DrainRequested>;

} // namespace Gateway
