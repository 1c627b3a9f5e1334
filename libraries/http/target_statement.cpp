#include "http/target_statement.hpp"

#include "http/http_dialect.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace caraway {

namespace {

constexpr std::string_view leaving_value = "1";
constexpr int max_load_figure = 1'000'000;
constexpr double max_work_time_percent = 10'000;
constexpr std::size_t max_load_figures = 4;
constexpr std::size_t min_load_figures = 3;

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

std::optional<int> parse_load_figure(std::string_view text) {
    auto const digits = trimmed(text);
    int figure = -1;
    auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), figure);
    bool const is_whole = error == std::errc{} && end == digits.data() + digits.size();
    return is_whole && figure >= 0 && figure <= max_load_figure ? std::optional(figure) : std::nullopt;
}

std::optional<target_load> parse_load(std::string_view text) {
    std::array<std::string_view, max_load_figures> parts;
    std::size_t count = 0;
    while (true) {
        if (count == parts.size()) {
            return std::nullopt;
        }
        auto const comma = text.find(',');
        parts.at(count++) = text.substr(0, comma);
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
    }
    if (count < min_load_figures) {
        return std::nullopt;
    }
    auto const running = parse_load_figure(parts[0]);
    auto const waiting = parse_load_figure(parts[1]);
    auto const slots = parse_load_figure(parts[2]);
    if (!running || !waiting || !slots || *slots == 0) {
        return std::nullopt;
    }
    target_load load{.running = *running, .waiting = *waiting, .slots = *slots};
    auto const work_time = count == max_load_figures ? parse_figure(parts[3]) : std::nullopt;
    if (work_time && *work_time > 0 && *work_time <= max_work_time_percent) {
        load.work_time_percent = work_time;
    }
    return load;
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
        auto const [first, last] = header.equal_range(dialect.target_leaving);
        statement.leaving = std::any_of(first, last, [](auto const& field) {
            auto const value = field.value();
            return trimmed({value.data(), value.size()}) == leaving_value;
        });
    }
    if (!dialect.target_cold.empty()) {
        auto const value = header[dialect.target_cold];
        statement.cold_ms = parse_figure({value.data(), value.size()});
    }
    if (!dialect.target_load.empty()) {
        auto const value = header[dialect.target_load];
        statement.load = parse_load({value.data(), value.size()});
    }
    return statement;
}

} // namespace caraway
