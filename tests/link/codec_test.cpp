/// Messages survive encoding and decoding, and arbitrary bytes are decoded or rejected safely.

#include "link/codec.hpp"
#include "support/property.hpp"

#include <cmath>
#include <limits>

using namespace caraway;

namespace {

std::string any_text() {
    return *rc::gen::arbitrary<std::string>();
}

header_list any_headers() {
    header_list headers;
    for (auto const& name :
         *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>())) {
        headers.push_back({name, any_text()});
    }
    return headers;
}

host_report any_report() {
    return {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<std::uint32_t>(), 7,
            *rc::gen::arbitrary<bool>(),          true};
}

message any_message() {
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return hello_message{any_text(), *rc::gen::arbitrary<std::uint64_t>(), any_text()};
    case 1:
        return ping_message{*rc::gen::arbitrary<std::uint64_t>(), any_report()};
    case 2:
        return forward_message{.call_id = 5,
                               .request_id = any_text(),
                               .headers = any_headers(),
                               .body = any_text(),
                               .deadline_ms = 1.5,
                               .priority = 2,
                               .ticket = any_text()};
    case 3:
        return answer_message{.call_id = 9,
                              .result = outcome::not_forwarded,
                              .code = result_code::overloaded,
                              .headers = any_headers(),
                              .body = any_text(),
                              .admissions = {{any_text(), {0.5, 1, 0}}, {any_text(), {1, 1, 1}}},
                              .report = any_report()};
    case 4:
        return gossip_message{.report = any_report(),
                              .documents = {{{3}, {4}}},
                              .suspects = {{1, 2, 3.5}},
                              .wants_answer = true};
    case 5:
        return values_message{.document = document_kind::hosts,
                              .revision = 3,
                              .manifest = any_text(),
                              .values = {{any_text(), any_text()}}};
    case 6:
        return token_request_message{any_text(), 1, -5, -4, 6, {{1, 2, 3}}};
    default:
        return membership_reply_message{7, true, false, {any_text(), any_text()}};
    }
}

std::optional<message> try_decode(std::string const& bytes) {
    return attempt_or(
        [&]() -> result<std::optional<message>> {
            BOOST_LEAF_AUTO(value, decode(bytes));
            return std::optional<message>(std::move(value));
        },
        [](problem const& cause) {
            CHECK(cause.code == result_code::link_malformed);
            return std::optional<message>{};
        });
}

} // namespace

TEST_CASE("a decoded message equals the encoded one") {
    caraway::tests::check_property("round trip", [] {
        auto const original = any_message();
        auto const bytes = encode(original);
        auto const read = try_decode(bytes);
        RC_ASSERT(read.has_value());
        RC_ASSERT(encode(*read) == bytes);
    });
}

TEST_CASE("a number keeps its exact value and is written in the shortest form that does") {
    auto const bytes_of = [](double value) {
        auto const bytes = encode(forward_message{.deadline_ms = value});
        auto const read = try_decode(bytes);
        REQUIRE(read.has_value());
        auto const result = std::get<forward_message>(*read).deadline_ms;
        CHECK((result == value || (std::isnan(result) && std::isnan(value))));
        CHECK(std::signbit(result) == std::signbit(value));
        return bytes.size();
    };
    auto const shortest = bytes_of(0);
    for (double const value : {-0.0, 1.0, 0.5, 2048.0, 87.25, 65504.0}) {
        CHECK(bytes_of(value) == shortest);
    }
    for (double const value : {2049.0, 1234.75, 70000.0, -1048577.5}) {
        CHECK(bytes_of(value) == shortest + 2);
    }
    for (double const value : {1.0 / 3, 1e300, -1e39, 123456789.5, std::numeric_limits<double>::max(),
                               std::numeric_limits<double>::infinity(), std::nan("")}) {
        CHECK(bytes_of(value) == shortest + 6);
    }
    caraway::tests::check_property("exact numbers", [&] { bytes_of(*rc::gen::arbitrary<double>()); });
}

TEST_CASE("a truncated message is rejected") {
    caraway::tests::check_property("truncation", [] {
        auto const bytes = encode(any_message());
        auto const length = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT(!try_decode(bytes.substr(0, length)).has_value());
    });
}

TEST_CASE("altered and arbitrary bytes are decoded or rejected without harm") {
    caraway::tests::check_property(
        "damage",
        [] {
            auto bytes = encode(any_message());
            for (int count = *rc::gen::inRange(1, 8); count > 0; --count) {
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    static_cast<char>(*rc::gen::inRange(0, 256));
            }
            try_decode(bytes);
            try_decode(any_text());
        },
        1000);
}

TEST_CASE("a list with a forged length is rejected without reserving memory") {
    // An array of type 14, a sequence, a flag, and a list that claims 2^31 - 1 elements.
    std::string const bytes("\x9f\x0e\x9f\x07\xf5\x9a\x7f\xff\xff\xff", 10);
    CHECK_FALSE(try_decode(bytes));
}
