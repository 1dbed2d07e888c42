#include <settings/settingsreader.h>

#include <catch2/catch.hpp>

namespace {

namespace leaf = boost::leaf;

struct Row {
    std::string label;
    std::vector<std::string> arguments;
    std::map<std::string, std::string> variables;
    Settings::SettingValues expected;
    std::optional<Settings::SettingError> error;
};

const std::vector<Settings::SettingSpec> specs { { "name", "TEST_NAME", "A name.", std::nullopt },
    { "port", "TEST_PORT", "A port.", "80" } };

const std::vector<Row> rows {
    { "flag", { "x", "--name", "a" }, {}, { { "name", "a" }, { "port", "80" } }, std::nullopt },
    { "variable", { "x" }, { { "TEST_NAME", "b" } }, { { "name", "b" }, { "port", "80" } }, std::nullopt },
    { "the flag wins", { "x", "--name", "a" }, { { "TEST_NAME", "b" } },
        { { "name", "a" }, { "port", "80" } }, std::nullopt },
    { "missing", { "x" }, {}, {}, Settings::SettingError::Missing },
    { "unknown flag", { "x", "--nme", "a" }, {}, {}, Settings::SettingError::UnknownFlag },
};

} // namespace

TEST_CASE("settings come from flags, then variables, then defaults", "[settingsreader]")
{
    const Row row = GENERATE(from_range(rows));
    INFO(row.label);
    const Settings::VariableLookup lookup = [&row](const std::string& name) {
        const auto found = row.variables.find(name);
        return found == row.variables.end() ? std::optional<std::string>()
                                            : std::optional<std::string>(found->second);
    };
    std::optional<Settings::SettingError> error;
    const Settings::SettingValues values = leaf::try_handle_all(
        [&]() { return Settings::readSettings("Test.", "0", specs, row.arguments, lookup); },
        [&](const Settings::SettingFault& fault) {
            error = fault.error;
            return Settings::SettingValues();
        },
        []() { return Settings::SettingValues(); });
    REQUIRE(error == row.error);
    REQUIRE(values == row.expected);
}
