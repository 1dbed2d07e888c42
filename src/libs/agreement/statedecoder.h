#pragma once

#include <agreement/agreedstate.h>

#include <boost/json.hpp>
#include <boost/leaf/result.hpp>

namespace Agreement::Internal {

/// The state that a checkpoint carries. Each failure is a CodecError.
boost::leaf::result<AgreedState> stateFromJson(const boost::json::object& object);

} // namespace Agreement::Internal
