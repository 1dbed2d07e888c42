#include <edge/bodyintake.h>
#include <edge/callerclosure.h>
#include <edge/callerresponses.h>
#include <edge/callers.h>
#include <edge/clock.h>
#include <edge/configurationage.h>
#include <edge/exchanges.h>
#include <edge/forwardingheaders.h>
#include <edge/requestframing.h>
#include <edge/requestlog.h>
#include <platform/headers.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/read.hpp>

#include <utility>

namespace Edge {

namespace http = boost::beast::http;

namespace Internal {

using ErrorCode = boost::system::error_code;

/// Callers may reuse a connection until the configured idle timeout. Closing it slightly later avoids closing
/// it while a request is in transit.
constexpr Utils::Duration idleTimeoutMargin = std::chrono::seconds(1);
/// Timeout for reading a request body; the platform's configuration sets none.
constexpr Utils::Duration bodyReadTimeout = std::chrono::seconds(10);
/// Bytes that are read at once from a connection on which no request has begun; the usual header has less.
constexpr std::size_t firstReadBytes = 1024;
/// Bytes that are kept unparsed beside a header's limit: a chunk's line in front of a trailer.
constexpr std::size_t maxChunkLineBytes = 1024;
/// Least limit of the bytes that are kept unparsed, whatever the header's limit is.
constexpr std::size_t minUnparsedBytes = 8192;
/// A request's body may use the VM's memory divided by this if no configuration limits it.
constexpr std::uint64_t bodyMemoryDivisor = 4;
/// A body waits for memory for its caller's timeout divided by this, at most for the limit: callers give up a
/// request that is not read.
constexpr int intakeWaitDivisor = 3;
constexpr Utils::Duration maxIntakeWait = std::chrono::seconds(3);
/// When a caller may return whose request this VM could not take.
constexpr Utils::Duration intakeRetryAfter = std::chrono::seconds(1);
constexpr unsigned statusUnavailable = 503;
/// Requests of one connection that are read before the first of them is answered. The others stay in the
/// socket, so that one connection can't take much more of a VM than the others.
constexpr std::size_t maxRequestsInFlight = 16;
/// No more requests of a connection are read while its responses that wait for an earlier one use more than
/// the VM's memory divided by this.
constexpr std::size_t heldResponseDivisor = 64;

/// The limits of a request whose first bytes arrive now. Those of another VM's requests, and of all requests
/// before the first configuration, are set by the memory: nothing else is known to be wrong with them.
Routing::CallerLimits callerLimitsFor(const Node& node, const CallerConnection& caller)
{
    const std::optional<Routing::CallerLimits> configured
        = Routing::widestLimits(node.clusterView.callerLimits, now());
    if (configured && !caller.isPeer)
        return *configured;
    Routing::CallerLimits limits = configured.value_or(Routing::CallerLimits {});
    limits.maxHeaderBytes = maxUnparsedBytes;
    limits.maxBodyBytes = (std::uint64_t(node.settings.memoryMegabytes) << 20) / bodyMemoryDivisor;
    return limits;
}

Utils::Duration idleTimeoutFor(const Node& node)
{
    return Routing::widestLimits(node.clusterView.callerLimits, now())
               .value_or(Routing::CallerLimits {})
               .idleTimeout
        + idleTimeoutMargin;
}

/// Time for a header, from its first byte on.
Utils::Duration headerTimeoutFor(const Node& node)
{
    const Utils::Duration headerTimeout = Routing::widestLimits(node.clusterView.callerLimits, now())
                                              .value_or(Routing::CallerLimits {})
                                              .headerTimeout;
    return std::max(idleTimeoutFor(node), headerTimeout + idleTimeoutMargin);
}

bool canReadNext(const Node& node, const CallerConnection& caller)
{
    if (caller.readState != CallerReadState::Paused || caller.requests.size() >= maxRequestsInFlight)
        return false;
    std::size_t heldBytes = 0;
    for (const CallerRequest& request : caller.requests)
        heldBytes += request.responseBytes;
    return heldBytes <= (std::size_t(node.settings.memoryMegabytes) << 20) / heldResponseDivisor;
}

/// The next request does not arrive in time: no more are read, those in flight are answered.
void endReading(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    caller->readState = CallerReadState::Ended;
    if (caller->requests.empty())
        closeCaller(node, *caller);
}

void armReadTimer(Node& node, const std::shared_ptr<CallerConnection>& caller, Utils::Duration timeout)
{
    startTimer(caller->readTimer, timeout, [&node, caller] {
        if (isOpen(node, *caller) && !caller->isLingering)
            endReading(node, caller);
    });
}

/// Waits for the next request until the connection has been idle for as long as the configuration allows,
/// also if that becomes longer meanwhile.
void armIdleTimer(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    startTimer(caller->readTimer, caller->idleSince + idleTimeoutFor(node) - now(), [&node, caller] {
        if (!isOpen(node, *caller) || caller->isLingering)
            return;
        if (!caller->parser && now() < caller->idleSince + idleTimeoutFor(node))
            armIdleTimer(node, caller);
        else
            endReading(node, caller);
    });
}

void respondToUnreadRequest(Node& node, const std::shared_ptr<CallerConnection>& caller,
    const LocalResponse& localResponse, std::string_view fault)
{
    node.counters.localResponses.add(localResponse.reason);
    logMalformedRequest(node, *caller, localResponse, fault);
    releaseBodyIntake(node, *caller);
    const bool hasHeader = caller->parser && caller->parser->is_header_done();
    HttpResponse response = makeLocalResponse(localResponse,
        hasHeader ? Platform::parseCallerHeaders(caller->parser->get()).requestId : Utils::RequestId {});
    if (hasHeader && caller->parser->get().method() == http::verb::head)
        response.body().clear();
    caller->parser.reset();
    if (caller->isPeer)
        setForwardingOutcome(response, ForwardingOutcome::Declined, node.settings.zone);
    respondToMalformedRequest(node, caller, std::move(response));
}

void rejectMalformedRequest(
    Node& node, const std::shared_ptr<CallerConnection>& caller, const ErrorCode& error)
{
    LocalResponse localResponse;
    localResponse.reason = LocalResponseReason::BadRequest;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        localResponse.reason = LocalResponseReason::HeaderTooLarge;
    if (error == http::error::body_limit)
        localResponse.reason = LocalResponseReason::BodyTooLarge;
    const bool isTooLarge = localResponse.reason != LocalResponseReason::BadRequest;
    if (isTooLarge && caller->isPeer)
        localResponse.reason = LocalResponseReason::MemoryLimitReached;
    else if (isTooLarge && !node.clusterView.routeTable)
        localResponse.reason = LocalResponseReason::NoConfiguration;
    else if (isTooLarge && mayHaveMissedConfiguration(node, now()))
        localResponse.reason = LocalResponseReason::StaleConfiguration;
    if (isTooLarge && statusFor(localResponse) == statusUnavailable)
        localResponse.retryAfter = intakeRetryAfter;
    respondToUnreadRequest(node, caller, localResponse, error.message());
}

bool isMalformed(const ErrorCode& error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

bool isEndOfInput(const ErrorCode& error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message;
}

void readHeader(Node& node, const std::shared_ptr<CallerConnection>& caller);
void waitForRequest(Node& node, const std::shared_ptr<CallerConnection>& caller);

/// Handles the end of a read. Returns whether the request is to be processed further.
bool checkRead(Node& node, const std::shared_ptr<CallerConnection>& caller, const ErrorCode& error)
{
    caller->isReadPending = false;
    if (!isOpen(node, *caller))
        return false;
    if (caller->isLingering) {
        if (error)
            closeCaller(node, *caller);
        else
            discardInput(node, caller);
        return false;
    }
    if (std::exchange(caller->isClosingIfIdle, false) && error == boost::asio::error::operation_aborted) {
        if (caller->parser)
            readHeader(node, caller);
        else if (hasBegunRequest(*caller))
            waitForRequest(node, caller);
        else
            closeCaller(node, *caller);
        return false;
    }
    if (error && !isMalformed(error)) {
        if (isEndOfInput(error))
            handleEndOfInput(node, caller);
        else
            disconnectCaller(node, caller);
        return false;
    }
    if (caller->readState == CallerReadState::Ended) {
        watchForDisconnect(node, caller);
        return false;
    }
    if (error)
        rejectMalformedRequest(node, caller, error);
    return !error;
}

void handleRequest(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    cancelTimer(caller->readTimer);
    const bool keepAlive = caller->parser->keep_alive();
    Platform::HttpRequest request = caller->parser->release();
    if (caller->header)
        request.base() = *std::exchange(caller->header, std::nullopt);
    normalizeTarget(request.base());
    caller->parser.reset();
    caller->awaitsContinue = false;
    caller->readState = keepAlive ? CallerReadState::Paused : CallerReadState::Ended;
    beginExchange(node, caller, std::move(request), keepAlive);
    if (!isOpen(node, *caller))
        return;
    readRequest(node, caller);
    if (!caller->isReadPending)
        watchForDisconnect(node, caller);
}

void rejectForMemory(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    LocalResponse localResponse;
    localResponse.reason = LocalResponseReason::MemoryLimitReached;
    localResponse.retryAfter = intakeRetryAfter;
    respondToUnreadRequest(node, caller, localResponse, "no memory for the body");
}

void waitForMemory(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    const std::optional<Utils::Duration> timeout
        = Platform::parseCallerHeaders(caller->parser->get()).timeout;
    const Utils::Duration wait
        = std::min(timeout.value_or(maxIntakeWait * intakeWaitDivisor) / intakeWaitDivisor, maxIntakeWait);
    startTimer(caller->readTimer, wait, [&node, caller] {
        if (isOpen(node, *caller) && caller->waitingBodyBytes > 0)
            rejectForMemory(node, caller);
    });
}

/// Reads a body whose length is not known part by part, as its memory is reserved while it grows.
void readBodyPart(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    if (!extendBodyIntake(node, *caller)) {
        rejectForMemory(node, caller);
        return;
    }
    caller->isReadPending = true;
    http::async_read_some(caller->socket, caller->buffer, *caller->parser,
        [&node, caller](const ErrorCode& error, std::size_t) {
            if (!checkRead(node, caller, error))
                return;
            if (caller->parser->is_done())
                handleRequest(node, caller);
            else
                readBodyPart(node, caller);
        });
}

void readBody(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    armReadTimer(node, caller, bodyReadTimeout);
    if (caller->parser->chunked()) {
        readBodyPart(node, caller);
        return;
    }
    caller->isReadPending = true;
    http::async_read(caller->socket, caller->buffer, *caller->parser,
        [&node, caller](const ErrorCode& error, std::size_t) {
            if (checkRead(node, caller, error))
                handleRequest(node, caller);
        });
}

void handleHeader(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    if (const std::optional<FramingFault> fault = findFramingFault(caller->parser->get())) {
        LocalResponse localResponse;
        localResponse.reason = LocalResponseReason::BadRequest;
        respondToUnreadRequest(node, caller, localResponse, Utils::enumName(framingFaultNames, *fault));
        return;
    }
    // Fields in the trailer of a chunked body are not merged into the header (RFC 9110, 6.5.1).
    if (caller->parser->chunked())
        caller->header = caller->parser->get().base();
    caller->readState = CallerReadState::Body;
    switch (requestBodyIntake(node, *caller)) {
    case Balancing::IntakeDecision::Admitted:
        readAdmittedBody(node, caller);
        break;
    case Balancing::IntakeDecision::Waits:
        waitForMemory(node, caller);
        break;
    case Balancing::IntakeDecision::Rejected:
        rejectForMemory(node, caller);
        break;
    }
}

void readHeader(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    caller->isReadPending = true;
    http::async_read_header(caller->socket, caller->buffer, *caller->parser,
        [&node, caller](const ErrorCode& error, std::size_t) {
            if (checkRead(node, caller, error))
                handleHeader(node, caller);
        });
}

std::string_view textOf(const boost::beast::flat_buffer& buffer)
{
    return { static_cast<const char*>(buffer.data().data()), buffer.size() };
}

/// Whether bytes of a request have arrived. The first half of a line end may belong to an empty line before.
bool hasFirstBytes(const CallerConnection& caller)
{
    return caller.buffer.size() > 0 && textOf(caller.buffer) != "\r";
}

/// Limits what is kept of a request until it can be parsed. The parser limits headers and bodies itself, but
/// keeps the line of a chunk and a whole trailer until their end has come.
void limitUnparsedBytes(CallerConnection& caller)
{
    const std::size_t headerBytes = caller.limits.maxHeaderBytes;
    // What an earlier request has left behind may be longer.
    caller.buffer.max_size(
        std::max({ headerBytes + maxChunkLineBytes, minUnparsedBytes, caller.buffer.size() }));
}

void beginHeader(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    caller->buffer.consume(countLeadingEmptyLines(textOf(caller->buffer)));
    if (!hasFirstBytes(*caller)) {
        waitForRequest(node, caller);
        return;
    }
    caller->limits = callerLimitsFor(node, *caller);
    limitUnparsedBytes(*caller);
    caller->parser.emplace();
    caller->parser->header_limit(caller->limits.maxHeaderBytes);
    caller->parser->body_limit(caller->limits.maxBodyBytes);
    if (caller->requests.empty())
        armReadTimer(node, caller, headerTimeoutFor(node));
    readHeader(node, caller);
}

/// Reads the first bytes of a request. The limits are those of their arrival, which may be long after the
/// connection began to wait for them.
void waitForRequest(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    if (hasFirstBytes(*caller)) {
        beginHeader(node, caller);
        return;
    }
    caller->isReadPending = true;
    caller->socket.async_read_some(
        caller->buffer.prepare(firstReadBytes), [&node, caller](const ErrorCode& error, std::size_t bytes) {
            caller->buffer.commit(bytes);
            const ErrorCode readError = error == boost::asio::error::eof
                ? http::make_error_code(http::error::end_of_stream)
                : error;
            if (checkRead(node, caller, readError))
                beginHeader(node, caller);
        });
}

} // namespace Internal

void readRequest(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    // Until a caller waits for no response, only the end of its connection ends the wait for a request.
    if (caller->requests.empty() && caller->readState != CallerReadState::Body) {
        caller->idleSince = now();
        if (caller->parser)
            Internal::armReadTimer(node, caller, Internal::headerTimeoutFor(node));
        else
            Internal::armIdleTimer(node, caller);
    }
    if (!Internal::canReadNext(node, *caller))
        return;
    caller->readState = CallerReadState::Header;
    caller->parser.reset();
    Internal::waitForRequest(node, caller);
}

void readAdmittedBody(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    constexpr unsigned firstVersionWithInterimResponses = 11;
    caller->awaitsContinue = caller->parser->get().version() >= firstVersionWithInterimResponses
        && boost::iequals(caller->parser->get()[http::field::expect], "100-continue");
    sendContinueIfDue(node, caller);
    Internal::readBody(node, caller);
}

void sendContinueIfDue(Node& node, const std::shared_ptr<CallerConnection>& caller)
{
    if (caller->awaitsContinue && caller->requests.empty()
        && writeInterimResponse(node, caller, "HTTP/1.1 100 Continue\r\n\r\n"))
        caller->awaitsContinue = false;
}

void acceptCaller(Node& node, Tcp::socket socket, bool isPeer)
{
    const std::uint64_t id = ++node.traffic.lastId;
    configureSocket(socket);
    const std::shared_ptr<CallerConnection> caller
        = std::make_shared<CallerConnection>(id, std::move(socket));
    caller->isPeer = isPeer;
    node.traffic.callerConnections.emplace(id, caller);
    readRequest(node, caller);
}

bool hasBegunRequest(CallerConnection& caller)
{
    return caller.readState == CallerReadState::Body || caller.buffer.size() > 0
        || (caller.parser && caller.parser->got_some()) || isReadableOrClosed(caller.socket);
}

void closeIdleCallers(Node& node)
{
    std::vector<std::shared_ptr<CallerConnection>> idle;
    for (auto it = node.traffic.callerConnections.begin(); it != node.traffic.callerConnections.end(); ++it) {
        CallerConnection& caller = *it->second;
        if (caller.requests.empty() && !caller.isLingering && !hasBegunRequest(caller))
            idle.push_back(it->second);
    }
    for (const std::shared_ptr<CallerConnection>& caller : idle) {
        // A read that has completed has taken bytes from the socket already; its handler runs later.
        Internal::ErrorCode ignored;
        caller->isClosingIfIdle = true;
        caller->socket.cancel(ignored);
    }
}

} // namespace Edge
