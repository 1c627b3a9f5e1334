/// Settings as read, each value with its place, checked against a schema but not yet against each other.
#pragma once

#include "base/problem.hpp"
#include "config/schema.hpp"

#include <filesystem>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace caraway {

/// One value with the file and line it came from.
struct located_value {
    std::variant<double, bool, std::string, std::vector<std::string>> value;
    std::string file;
    int line{0};
};

using field_map = std::map<std::string, located_value>;
using item_map = std::map<std::string, field_map>;
/// Section to item to field. A settings file has one unnamed item in each section.
using item_set = std::map<std::string, item_map>;

/// Whether the sections of a file hold named items or are tables themselves.
enum class file_layout : std::uint8_t { named_items, plain_tables };

/// Checks name, type and bounds of one value.
result<void> check_value(std::span<field const> schema, std::string const& section, std::string const& name,
                         located_value const& value);

/// Reports a required field that is absent.
result<void> check_required(std::span<field const> schema, item_set const& items);

/// Reads one TOML file into `items`; a later file's fields replace an earlier one's.
result<void> read_toml_file(std::filesystem::path const& path, file_layout shape,
                            std::span<field const> schema, item_set& items);

/// Reads TOML text; `file` is named in problems.
result<void> read_toml_text(std::string const& text, std::string const& file, file_layout shape,
                            std::span<field const> schema, item_set& items);

/// Reads every "*.toml" of the operators' folder in the order of the names.
result<item_set> read_configuration_folder(std::filesystem::path const& folder);

/// Looks a field up; null when absent.
located_value const* find_field(field_map const& fields, std::string const& name);

} // namespace caraway
