#include "core/error.hpp"
#include "document/document_types.hpp"
#include "settings/router_settings.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace briarfold;

namespace {

const std::string minimal = R"(
zone = "a"
ip = "127.0.0.1"
platform = "127.0.0.1:9000"
router_token = "router-token-0123456789"
admin_token = "admin-token-0123456789"
)";

std::vector<std::string> refused_fields(const std::string& text)
{
    try
    {
        settings::parse_settings(text, "test");
        return {};
    }
    catch (const document::invalid_document& failure)
    {
        std::vector<std::string> fields;
        std::ranges::transform(failure.errors(), std::back_inserter(fields),
                               [](const auto& item) { return item.field; });
        std::ranges::sort(fields);
        return fields;
    }
}

} // namespace

// Guards against a check that stops at the first error, so that an operator needs one restart for each.
BOOST_AUTO_TEST_CASE(all_errors_are_listed_at_once)
{
    const auto fields = refused_fields(R"(
zone = ""
ip = "localhost"
http_port = 70000
platform = "nowhere"
seeds = ["10.0.0.1:1", "bad"]
router_token = "short"
log_level = "loud"
colour = "red"
)");
    const std::vector<std::string> expected{"admin_token", "colour", "http_port",    "ip",  "log_level",
                                            "platform",    "seeds",  "router_token", "zone"};
    auto sorted = expected;
    std::ranges::sort(sorted);
    BOOST_TEST(fields == sorted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(defaults_fill_the_rest)
{
    const auto value = settings::parse_settings(minimal + "seeds = [\"127.0.0.1:7\"]\n", "test");
    BOOST_TEST(value.http_port == 8080);
    BOOST_TEST(value.seeds.front().port == 7);
    BOOST_TEST(value.log_format == "text");
}

// Guards against two listeners on one TCP port, which fails only at the second listen call.
BOOST_AUTO_TEST_CASE(equal_tcp_ports_are_refused)
{
    BOOST_TEST(refused_fields(minimal + "http_port = 5\nadmin_port = 5\n") ==
               std::vector<std::string>{"admin_port"});
    BOOST_TEST(refused_fields(minimal + "http_port = 0\nadmin_port = 0\npeer_port = 0\n").empty());
}

// Guards against tokens in log files and in the admin API.
BOOST_AUTO_TEST_CASE(printed_settings_and_errors_hide_tokens)
{
    const auto value = settings::parse_settings(minimal, "test");
    const auto text = settings::to_text(value);
    BOOST_TEST(text.find("0123456789") == std::string::npos);
    try
    {
        settings::parse_settings("router_token = \"secret 1\"\nroutertoken = \"secret 2\"\n", "test");
        BOOST_ERROR("the document was accepted");
    }
    catch (const document::invalid_document& failure)
    {
        BOOST_TEST(std::string(failure.what()).find("secret") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(syntax_errors_name_the_line)
{
    BOOST_TEST(refused_fields("zone = \"a\"\nip = \n") == std::vector<std::string>{"line 2"});
    BOOST_CHECK_THROW(settings::load_settings("/nonexistent/router.toml"), core::error);
}

// Guards against example files that no longer match the settings.
BOOST_AUTO_TEST_CASE(example_settings_are_accepted)
{
    for (const std::string deployment : {"fairway", "teranga"})
    {
        const auto value =
            settings::load_settings(std::string(EXAMPLES_FOLDER) + "/" + deployment + "/router.toml");
        BOOST_TEST(value.admin_port == 8082);
    }
}
