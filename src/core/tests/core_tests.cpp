#include "core/clock.hpp"
#include "core/encoding.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/json.hpp"
#include "core/key_hash.hpp"

#include <boost/test/unit_test.hpp>

using namespace briarfold::core;

// Guards against a hash text that does not survive a round trip through a table row.
BOOST_AUTO_TEST_CASE(hash_text_round_trip)
{
    const auto hash = key_hash("fleetdesk", "cart-17");
    BOOST_TEST(from_hex(to_hex(hash)) == hash);
    BOOST_TEST(to_hex(0) == "0000000000000000");
    BOOST_TEST(from_hex("ffffffffffffffff") == ~std::uint64_t{0});
}

// Guards against silently accepting a truncated or signed hash.
BOOST_AUTO_TEST_CASE(malformed_hash_text_is_refused)
{
    BOOST_CHECK_THROW(from_hex("12"), error);
    BOOST_CHECK_THROW(from_hex("00000000000000zz"), error);
    BOOST_CHECK_THROW(from_hex("-000000000000001"), error);
}

// Guards against keys of two services sharing an owner only because their names concatenate alike.
BOOST_AUTO_TEST_CASE(hash_separates_service_and_key)
{
    BOOST_TEST(key_hash("a", "bc") != key_hash("ab", "c"));
}

BOOST_AUTO_TEST_CASE(ids_are_unique)
{
    BOOST_TEST(make_id("request") != make_id("request"));
}

BOOST_AUTO_TEST_CASE(error_names_step_and_peer)
{
    const timeout_error failure("grant", "127.0.0.1:9000", "no answer for 300 ms");
    BOOST_TEST(failure.step() == "grant");
    BOOST_TEST(failure.peer() == "127.0.0.1:9000");
    BOOST_TEST(failure.what() == "grant [127.0.0.1:9000]: no answer for 300 ms");
}

BOOST_AUTO_TEST_CASE(base64_round_trip)
{
    for (const std::string text : {"", "a", "ab", "abc", "abcd", "{\"x\":1}"})
    {
        BOOST_CHECK_EQUAL(decode_base64(encode_base64(text)), text);
    }
    BOOST_CHECK_EQUAL(encode_base64("node-1"), "bm9kZS0x");
    BOOST_CHECK_THROW(decode_base64("!!!!"), error);
}

// Guards against a nested text that exhausts the stack when its value is copied, and against brackets in
// strings that count as levels.
BOOST_AUTO_TEST_CASE(deeply_nested_json_is_refused)
{
    const auto nest = [](int depth) {
        const auto size = static_cast<std::size_t>(depth);
        return std::string(size, '[') + std::string(size, ']');
    };
    BOOST_CHECK_NO_THROW(parse_json(nest(max_json_depth)));
    BOOST_CHECK_THROW(parse_json(nest(max_json_depth + 1)), error);
    BOOST_CHECK_THROW(parse_json(nest(32700)), error);
    BOOST_CHECK_THROW(parse_json("{\"a\": " + nest(max_json_depth) + "}"), error);
    BOOST_CHECK_NO_THROW(parse_json("{\"a\\\"\": \"" + std::string(1000, '[') + "\"}"));
    BOOST_CHECK_NO_THROW(parse_json(nest(max_json_depth + 1), max_json_depth + 1));
    BOOST_CHECK_THROW(parse_json("{\"a\": "), error);
    BOOST_CHECK_THROW(parse_json("\"\xff\xfe\""), error);
}

// Guards against a configuration that cannot be read after its trip between routers, and against input that
// would fill the memory.
BOOST_AUTO_TEST_CASE(compression_round_trip)
{
    std::string text;
    for (int i = 0; i < 20000; ++i)
    {
        text += "{\"prefix\":\"/route" + std::to_string(i) + "/\",\"timeout\":3000}";
    }
    const auto packed = compress(text);
    BOOST_TEST(packed.size() * 5 < text.size());
    BOOST_TEST(decompress(packed, text.size()) == text);
    BOOST_TEST(decompress(compress(""), 10).empty());
    BOOST_CHECK_THROW(decompress(packed, text.size() / 2), error);
    BOOST_CHECK_THROW(decompress(packed.substr(0, packed.size() / 2), text.size()), error);
    BOOST_CHECK_THROW(decompress("no such format", 100), error);
}
