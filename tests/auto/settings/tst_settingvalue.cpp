#include <settings/settingvalue.h>

#include <catch2/catch.hpp>

#include <optional>

namespace {

namespace leaf = boost::leaf;

template <typename Convert> std::optional<Settings::SettingError> errorOf(Convert convert)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Settings::SettingError>> {
            BOOST_LEAF_CHECK(convert());
            return std::optional<Settings::SettingError>();
        },
        [](const Settings::SettingFault& fault) {
            return std::optional<Settings::SettingError>(fault.error);
        },
        []() { return std::optional<Settings::SettingError>(); });
}

struct Row {
    std::string value;
    std::optional<Settings::SettingError> error;
};

using Settings::SettingError;

} // namespace

TEST_CASE("numbers are checked", "[settingvalue]")
{
    const Row row = GENERATE(values<Row>({ { "1", std::nullopt }, { "9", std::nullopt },
        { "0", SettingError::OutOfRange }, { "10", SettingError::OutOfRange },
        { "", SettingError::NotANumber }, { "4x", SettingError::NotANumber },
        { "-1", SettingError::NotANumber }, { "99999999999999999999999", SettingError::OutOfRange } }));
    INFO(row.value);
    REQUIRE(errorOf([&row]() { return Settings::numberValue("n", row.value, 1, 9); }) == row.error);
}

TEST_CASE("endpoints are checked", "[settingvalue]")
{
    const Row row = GENERATE(values<Row>({ { "127.0.0.1:80", std::nullopt },
        { "127.0.0.1", SettingError::NotAnEndpoint }, { "127.0.0.1:0", SettingError::NotAnEndpoint },
        { "127.0.0.1:65536", SettingError::NotAnEndpoint }, { "host:80", SettingError::NotAnEndpoint },
        { "127.0.0.1:8a", SettingError::NotAnEndpoint } }));
    INFO(row.value);
    REQUIRE(errorOf([&row]() { return Settings::endpointValue("e", row.value); }) == row.error);
}

TEST_CASE("names are checked", "[settingvalue]")
{
    const Row row = GENERATE(values<Row>({ { "west-1-a", std::nullopt }, { "", SettingError::NotAName },
        { "a b", SettingError::NotAName }, { std::string(65, 'a'), SettingError::NotAName } }));
    INFO(row.value);
    REQUIRE(errorOf([&row]() { return Settings::nameValue("n", row.value); }) == row.error);
}
