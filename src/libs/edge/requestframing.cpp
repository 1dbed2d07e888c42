#include <edge/requestframing.h>

#include <boost/algorithm/string/predicate.hpp>

#include <string>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

constexpr boost::string_view absoluteFormPrefix = "http://";
constexpr unsigned firstVersionWithTransferCodings = 11;

bool isAbsolute(boost::string_view target) { return boost::istarts_with(target, absoluteFormPrefix); }

bool hasContent(const RequestHeader& header)
{
    const boost::string_view length = header[http::field::content_length];
    return header.count(http::field::transfer_encoding) > 0 || (!length.empty() && length != "0");
}

std::optional<FramingFault> findTransferCodingFault(const RequestHeader& header)
{
    const std::size_t count = header.count(http::field::transfer_encoding);
    if (count == 0)
        return std::nullopt;
    if (header.version() < firstVersionWithTransferCodings)
        return FramingFault::TransferCodingTooOld;
    if (header.count(http::field::content_length) > 0)
        return FramingFault::LengthAndTransferCoding;
    const bool isChunked = count == 1 && boost::iequals(header[http::field::transfer_encoding], "chunked");
    return isChunked ? std::nullopt : std::optional(FramingFault::UnknownTransferCoding);
}

} // namespace Internal

std::optional<FramingFault> findFramingFault(const RequestHeader& header)
{
    if (const std::optional<FramingFault> fault = Internal::findTransferCodingFault(header))
        return fault;
    if (header.count(http::field::content_length) > 1)
        return FramingFault::SeveralLengths;
    const std::size_t hosts = header.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && header.version() >= Internal::firstVersionWithTransferCodings))
        return FramingFault::HostCount;
    if (header.method() == http::verb::trace && Internal::hasContent(header))
        return FramingFault::TraceWithContent;
    const boost::string_view target = header.target();
    if (!target.starts_with('/') && target != "*" && !Internal::isAbsolute(target))
        return FramingFault::UnknownTargetForm;
    return std::nullopt;
}

void normalizeTarget(RequestHeader& header)
{
    const boost::string_view target = header.target();
    if (!Internal::isAbsolute(target))
        return;
    const boost::string_view rest = target.substr(Internal::absoluteFormPrefix.size());
    const std::size_t pathStart = std::min(rest.find_first_of("/?"), rest.size());
    const std::string authority(rest.substr(0, pathStart));
    std::string path(rest.substr(pathStart));
    if (!boost::starts_with(path, "/"))
        path.insert(path.begin(), '/');
    header.set(http::field::host, authority);
    header.target(path);
}

std::size_t countLeadingEmptyLines(std::string_view text)
{
    constexpr std::string_view emptyLine = "\r\n";
    std::size_t length = 0;
    while (text.substr(length).substr(0, emptyLine.size()) == emptyLine)
        length += emptyLine.size();
    return length;
}

} // namespace Edge
