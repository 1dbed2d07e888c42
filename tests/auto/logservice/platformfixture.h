#pragma once

#include <logservice/platformerror.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace PlatformFixture {

/// What became of \a call: "ok" or the name of its error.
template <typename Call> std::string outcomeOf(const Call& call)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(call());
            return std::string("ok");
        },
        [](LogService::PlatformError error) {
            return std::string(Utils::enumName(LogService::platformErrorNames, error));
        },
        [] { return std::string("untyped"); });
}

} // namespace PlatformFixture
