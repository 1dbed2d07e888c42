#include <relay/deflation.h>
#include <relay/relayerror.h>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <boost/leaf/error.hpp>

namespace Relay::Internal {

namespace zlib = boost::beast::zlib;

std::string deflateBytes(std::string_view bytes)
{
    zlib::deflate_stream stream;
    std::string deflated(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params params;
    params.next_in = bytes.data();
    params.avail_in = bytes.size();
    params.next_out = deflated.data();
    params.avail_out = deflated.size();
    boost::beast::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    deflated.resize(params.total_out);
    return deflated;
}

boost::leaf::result<std::string> inflateBytes(std::string_view deflated, std::size_t size)
{
    // With room for more, output beyond the size is noticed.
    constexpr std::size_t spareBytes = 16;
    zlib::inflate_stream stream;
    std::string bytes(size + spareBytes, '\0');
    zlib::z_params params;
    params.next_in = deflated.data();
    params.avail_in = deflated.size();
    params.next_out = bytes.data();
    params.avail_out = bytes.size();
    boost::beast::error_code error;
    // With Flush::finish some complete streams end with need_buffers.
    stream.write(params, zlib::Flush::sync, error);
    const bool isComplete = (!error || error == zlib::error::end_of_stream) && params.total_out == size;
    if (!isComplete)
        return boost::leaf::new_error(RelayError::Malformed);
    bytes.resize(size);
    return bytes;
}

} // namespace Relay::Internal
