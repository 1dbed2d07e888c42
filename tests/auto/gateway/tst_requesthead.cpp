#include <gateway/requesthead.h>

#include "sampleconfiguration.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

namespace {

namespace leaf = boost::leaf;
using Requests::Reason;

struct Row {
    std::string label;
    std::string method;
    std::string target;
    std::vector<Wire::HttpHeader> headers;
    std::optional<Reason> refused;
};

const std::vector<Row> rows {
    { "plain get", "GET", "/stock/lamp", {}, std::nullopt },
    { "deeper path and query", "GET", "/stock/lamp/price?day=2", {}, std::nullopt },
    { "no key", "GET", "/stock", {}, Reason::BadRequest },
    { "empty key", "GET", "/stock/", {}, Reason::BadRequest },
    { "not a path", "GET", "stock/lamp", {}, Reason::BadRequest },
    { "bad escape", "GET", "/stock/%zz", {}, Reason::BadRequest },
    { "long key", "GET", "/stock/" + std::string(2000, 'k'), {}, Reason::BadRequest },
    { "unknown service", "GET", "/dues/lamp", {}, Reason::UnknownService },
    { "unknown method", "BREW", "/stock/lamp", {}, Reason::BadRequest },
    { "post without id", "POST", "/stock/lamp", {}, Reason::MissingIdempotencyKey },
    { "post with id", "POST", "/stock/lamp", { { "Idempotency-Key", "o-1" } }, std::nullopt },
    { "id with a blank", "POST", "/stock/lamp", { { "Idempotency-Key", "o 1" } }, Reason::BadRequest },
    { "empty id", "POST", "/stock/lamp", { { "Idempotency-Key", "" } }, Reason::BadRequest },
    { "two ids", "POST", "/stock/lamp", { { "Idempotency-Key", "a" }, { "idempotency-key", "b" } },
        Reason::BadRequest },
    { "rank of another service", "GET", "/stock/lamp", { { "Request-Rank", "bulk" } },
        Reason::RankNotAllowed },
    { "undeclared rank", "GET", "/stock/lamp", { { "Request-Rank", "x" } }, Reason::RankNotAllowed },
    { "timeout", "GET", "/stock/lamp", { { "Request-Timeout-Ms", "30" } }, std::nullopt },
    { "timeout 0", "GET", "/stock/lamp", { { "Request-Timeout-Ms", "0" } }, Reason::BadRequest },
    { "timeout of a year", "GET", "/stock/lamp", { { "Request-Timeout-Ms", "31536000000" } },
        Reason::BadRequest },
    { "timeout in words", "GET", "/stock/lamp", { { "Request-Timeout-Ms", "soon" } }, Reason::BadRequest },
    { "negative attempt", "GET", "/stock/lamp", { { "Request-Attempt", "-1" } }, Reason::BadRequest },
};

} // namespace

TEST_CASE("requests are taken or refused by type", "[requesthead]")
{
    const Row row = GENERATE(from_range(rows));
    INFO(row.label);
    std::optional<Reason> refused;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(Gateway::readRequestHead(
                { row.method, row.target, row.headers, "127.0.0.1" }, sampleConfiguration()));
            return {};
        },
        [&refused](const Gateway::RequestFault& fault) { refused = fault.reason; },
        []() { FAIL("untyped failure"); });
    REQUIRE(refused == row.refused);
}

TEST_CASE("what the system sets itself is not taken from callers", "[requesthead]")
{
    const Gateway::HttpHead head { "GET", "/stock/a%2Fb",
        { { "Accept", "text/plain" }, { "Fencing-Token", "9.1" }, { "Connection", "close" }, { "Shard", "x" },
            { "Caller-Id", "kiosk-1" } },
        "127.0.0.1" };
    const leaf::result<Gateway::CallerRequest> request
        = Gateway::readRequestHead(head, sampleConfiguration());
    REQUIRE(request);
    REQUIRE(request->key == "a/b");
    REQUIRE(request->caller == "kiosk-1");
    REQUIRE(request->timeout == std::chrono::milliseconds(500));
    const std::vector<Wire::HttpHeader> expected { { "Accept", "text/plain" }, { "Caller-Id", "kiosk-1" } };
    REQUIRE(request->headers == expected);
}
