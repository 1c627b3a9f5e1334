#include "http/target_statement.hpp"

#include "http/http_dialect.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace caraway {

namespace {

constexpr std::string_view leaving_value = "1";

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// A finite decimal number that is not negative.
std::optional<double> parse_figure(std::string_view text) {
    auto const digits = trimmed(text);
    double rate = 0;
    auto const [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), rate, std::chars_format::fixed);
    bool const is_whole = error == std::errc{} && end == digits.data() + digits.size();
    if (!is_whole || !std::isfinite(rate) || std::signbit(rate)) {
        return std::nullopt;
    }
    return rate;
}

} // namespace

target_statement read_target_statement(http_dialect const& dialect,
                                       boost::beast::http::fields const& header) {
    target_statement statement;
    if (!dialect.target_rate_limit.empty()) {
        auto const [first, last] = header.equal_range(dialect.target_rate_limit);
        for (auto field = first; field != last; ++field) {
            auto const value = field->value();
            auto const rate = parse_figure({value.data(), value.size()});
            if (rate) {
                statement.rate_limit = std::min(*rate, statement.rate_limit.value_or(*rate));
            }
        }
        statement.has_unreadable_rate_limit = first != last && !statement.rate_limit;
    }
    if (!dialect.target_leaving.empty()) {
        auto const value = header[dialect.target_leaving];
        statement.leaving = trimmed({value.data(), value.size()}) == leaving_value;
    }
    if (!dialect.target_cold.empty()) {
        auto const value = header[dialect.target_cold];
        statement.cold_ms = parse_figure({value.data(), value.size()});
    }
    return statement;
}

} // namespace caraway
