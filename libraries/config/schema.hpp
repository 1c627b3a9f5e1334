/// The names, types and bounds of every setting; the checks, the docs and `carawayctl` share this table.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace caraway {

enum class value_type : std::uint8_t { number, boolean, text, text_list };

std::string_view name_of(value_type type);

/// One setting. Numbers carry their bounds, texts the least and greatest length.
struct field {
    std::string_view section;
    std::string_view name;
    value_type type;
    double low;
    double high;
    bool required;
    std::string_view unit;
    std::string_view meaning;
};

/// The sections of the operators' folder; each holds named items ("[organisations.NAME]").
std::span<field const> configuration_schema();

/// The sections of a node's settings file; each is one table ("[node]").
std::span<field const> settings_schema();

/// The greatest size of one published value, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

} // namespace caraway
