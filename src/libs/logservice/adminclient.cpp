#include <logservice/adminclient.h>

#include <logservice/httpcall.h>
#include <logservice/httpstatuscodes.h>

#include <boost/leaf/error.hpp>

namespace LogService {

namespace leaf = boost::leaf;

leaf::result<std::string> fetchStatus(const Endpoint& endpoint, Utils::Duration timeout)
{
    BOOST_LEAF_ASSIGN(const Internal::HttpAnswer answer,
        Internal::callHttp(endpoint, Internal::HttpMethod::Get, "/status", {}, timeout));
    if (answer.status != Internal::statusOk)
        return leaf::new_error(PlatformError::UnexpectedStatus, HttpStatus { answer.status });
    return answer.body;
}

} // namespace LogService
