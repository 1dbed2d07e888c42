#pragma once

#include <logservice/endpoint.h>
#include <logservice/httpanswer.h>
#include <logservice/httpmethod.h>
#include <utils/time.h>

#include <boost/leaf/result.hpp>

#include <string>

namespace LogService::Internal {

/// One exchange on a connection of its own. Fails with a PlatformError; AnswerLost means that the request may
/// have been acted on.
boost::leaf::result<HttpAnswer> callHttp(const Endpoint& endpoint, HttpMethod method,
    const std::string& target, const std::string& body, Utils::Duration timeout);

} // namespace LogService::Internal
