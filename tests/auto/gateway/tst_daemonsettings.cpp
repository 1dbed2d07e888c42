#include <gateway/daemonsettings.h>

#include <catch2/catch.hpp>

#include <optional>

namespace {

namespace leaf = boost::leaf;
using Settings::SettingError;

Settings::SettingValues goodValues()
{
    Settings::SettingValues values { { "name", "west-1-a" }, { "zone", "west-1" }, { "region", "west" },
        { "address", "127.0.0.1" }, { "log", "127.0.0.1:7100" }, { "vm-list", "127.0.0.1:7200" } };
    for (const Settings::SettingSpec& spec : Gateway::daemonSettingSpecs()) {
        if (spec.fallback)
            values[spec.name] = *spec.fallback;
    }
    return values;
}

struct Row {
    std::string name;
    std::string value;
    std::optional<SettingError> error;
};

const std::vector<Row> rows {
    { "name", "west-1-b", std::nullopt },
    { "name", "west 1", SettingError::NotAName },
    { "address", "localhost", SettingError::NotAnAddress },
    { "caller-port", "0", SettingError::OutOfRange },
    { "caller-port", "http", SettingError::NotANumber },
    { "log", "127.0.0.1", SettingError::NotAnEndpoint },
    { "log-level", "loud", SettingError::NotAllowed },
    { "max-requests", "0", SettingError::OutOfRange },
    { "log-retention-s", "1000000000000", SettingError::OutOfRange },
};

} // namespace

TEST_CASE("a bad setting names itself, its value and what is allowed", "[daemonsettings]")
{
    const Row row = GENERATE(from_range(rows));
    INFO(row.name << "=" << row.value);
    Settings::SettingValues values = goodValues();
    values[row.name] = row.value;
    std::optional<Settings::SettingFault> found;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(Gateway::checkDaemonSettings(values));
            return {};
        },
        [&found](const Settings::SettingFault& fault) { found = fault; }, []() { FAIL("untyped failure"); });
    REQUIRE(found.has_value() == row.error.has_value());
    if (!found)
        return;
    REQUIRE(found->error == row.error);
    REQUIRE(found->name == row.name);
    REQUIRE(found->value == row.value);
    REQUIRE_FALSE(found->allowed.empty());
}
