#include <gateway/holdercalls.h>

#include <gateway/gatewayconstants.h>
#include <gateway/granters.h>
#include <gateway/holdercodec.h>
#include <gateway/poolpolicy.h>
#include <gateway/upstreamconnections.h>
#include <logging/log.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace Gateway {

namespace Internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;

constexpr unsigned httpVersion = 11;
constexpr std::size_t maxIdleConnections = 4;
constexpr std::uint64_t maxHolderAnswerBytes = 1 << 20;

asio::awaitable<std::unique_ptr<UpstreamConnection>> connectionTo(
    ControlState& state, const Declarations::Upstream& upstream)
{
    std::unique_ptr<UpstreamConnection> idle = takeIdle(state.idle[upstream.id], idleReuse);
    if (idle != nullptr)
        co_return idle;
    const Settings::Endpoint place { upstream.address, upstream.port };
    std::unique_ptr<UpstreamConnection> opened = co_await openUpstream(state.context, place);
    co_return opened;
}

std::optional<Ownership::HolderResponse> decode(ControlState& state, const std::string& body)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Ownership::HolderResponse>> {
            BOOST_LEAF_AUTO(answer, decodeHolderAnswer(body));
            return std::optional<Ownership::HolderResponse>(answer);
        },
        [&](HolderError error) {
            state.metrics.counters.add(Counter::UpstreamAnswersMalformed);
            Logging::write(Logging::Level::Warning, "holder_answer_malformed",
                { { "error", Utils::enumName(holderErrorNames, error) } });
            return std::optional<Ownership::HolderResponse>();
        },
        []() { return std::optional<Ownership::HolderResponse>(); });
}

/// What is asked of an upstream's control endpoint.
struct HolderCall {
    http::verb method = http::verb::post;
    std::string target;
    std::string body;
};

/// One exchange; nothing when it fails in any way.
asio::awaitable<std::optional<Ownership::HolderResponse>> exchange(
    ControlState& state, const Utils::UpstreamId& id, const HolderCall& call)
{
    const Declarations::Upstream* found
        = state.configuration == nullptr ? nullptr : findUpstream(*state.configuration, id);
    if (found == nullptr)
        co_return std::nullopt;
    const Declarations::Upstream upstream = *found;
    std::unique_ptr<UpstreamConnection> connection = co_await connectionTo(state, upstream);
    if (connection == nullptr)
        co_return std::nullopt;
    http::request<http::string_body> request(call.method, call.target, httpVersion);
    request.body() = call.body;
    request.prepare_payload();
    boost::system::error_code error;
    connection->stream.expires_after(controlTimeout);
    co_await http::async_write(connection->stream, request, asio::redirect_error(asio::use_awaitable, error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxHolderAnswerBytes);
    if (!error)
        co_await http::async_read(
            connection->stream, connection->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return std::nullopt;
    const std::optional<Ownership::HolderResponse> answer = decode(state, parser.get().body());
    IdleConnections& idle = state.idle[id];
    connection->lastUsed = Utils::monotonicNow();
    if (parser.keep_alive() && idle.size() < maxIdleConnections)
        idle.push_back(std::move(connection));
    co_return answer;
}

/// Tells the dispatch duty that an upstream has restarted.
void reportCold(ControlState& state, const Utils::UpstreamId& id)
{
    for (const std::pair<const Utils::PoolId, Declarations::UpstreamPool>& pool :
        state.configuration->pools) {
        if (!pool.second.upstreams.contains(id))
            continue;
        if (!state.outputs.toDispatch(UpstreamReported { pool.first, id, Dispatch::UpstreamCondition::Cold }))
            state.metrics.counters.add(Counter::RingFull);
    }
}

void noteHealth(
    ControlState& state, const Utils::UpstreamId& id, const std::optional<Ownership::HolderResponse>& answer)
{
    if (!answer) {
        state.metrics.counters.add(Counter::HolderCallsFailed);
        return;
    }
    UpstreamHealth& health = state.upstreams[id];
    if (health.incarnation != 0 && health.incarnation != answer->incarnation)
        reportCold(state, id);
    health.incarnation = answer->incarnation;
    health.lastHeard = Utils::monotonicNow();
}

} // namespace Internal

boost::asio::awaitable<void> callHolder(ControlState& state, Utils::PoolId pool, Ownership::SendGrant call)
{
    state.metrics.counters.add(Counter::GrantsSent);
    // Named, since GCC 12 destroys such a temporary twice when it stands in a co_await expression.
    const Internal::HolderCall grant { boost::beast::http::verb::post, "/control/grant",
        encodeGrant(call.request) };
    const std::optional<Ownership::HolderResponse> answer
        = co_await Internal::exchange(state, call.upstream, grant);
    Internal::noteHealth(state, call.upstream, answer);
    if (answer)
        noteHolderAnswer(state, pool, call.upstream, call.queryId, *answer);
}

boost::asio::awaitable<void> callHolder(ControlState& state, Utils::PoolId pool, Ownership::SendFence call)
{
    namespace http = boost::beast::http;
    state.metrics.counters.add(Counter::FencesSent);
    const Declarations::Upstream* upstream
        = state.configuration == nullptr ? nullptr : findUpstream(*state.configuration, call.upstream);
    const bool checks = upstream == nullptr || upstream->checksGrants;
    Internal::HolderCall fence { http::verb::get, "/control/state", "" };
    if (checks)
        fence = { http::verb::post, "/control/fence", encodeFence(call.request) };
    const std::optional<Ownership::HolderResponse> answer
        = co_await Internal::exchange(state, call.upstream, fence);
    Internal::noteHealth(state, call.upstream, answer);
    if (answer)
        noteHolderAnswer(state, pool, call.upstream, call.queryId, *answer);
}

boost::asio::awaitable<void> pollUpstream(ControlState& state, Utils::UpstreamId upstream)
{
    const Internal::HolderCall question { boost::beast::http::verb::get, "/control/state", "" };
    const std::optional<Ownership::HolderResponse> answer
        = co_await Internal::exchange(state, upstream, question);
    Internal::noteHealth(state, upstream, answer);
}

} // namespace Gateway
