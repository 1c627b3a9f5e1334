/// The names, types and bounds of all settings; the checks, the docs and `carawayctl` use these tables.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace caraway {

enum class value_type : std::uint8_t { number, boolean, text, text_list };

std::string_view name_of(value_type type);

/// One setting. `minimum` and `maximum` bound a number's value or a text's length in bytes.
struct field {
    std::string_view section;
    std::string_view name;
    value_type type;
    double minimum;
    double maximum;
    bool required;
    std::string_view unit;
    std::string_view description;
};

/// The settings of the operators' folder; its sections hold named items ("[organisations.NAME]").
std::span<field const> configuration_schema();

/// The settings of a node's settings file; its sections are plain tables ("[node]").
std::span<field const> settings_schema();

/// The platform's limit for the size of one published value.
inline constexpr std::size_t max_value_bytes = 1'000'000;

} // namespace caraway
