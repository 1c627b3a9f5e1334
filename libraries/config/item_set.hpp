/// Settings as read from files, each value with its file and line. They are checked against a schema, but not
/// yet against each other.
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
/// Section name to item name to field name. A settings file has one item with an empty name in each section.
using item_set = std::map<std::string, item_map>;

/// Whether the sections of a file hold named items ("[organisations.NAME]") or are plain tables ("[node]").
enum class file_layout : std::uint8_t { named_items, plain_tables };

/// Checks name, type and bounds of one value.
result<void> check_value(std::span<field const> schema, std::string const& section, std::string const& name,
                         located_value const& value);

/// Fails when an item lacks a required field. With `mistakes`, each missing field is added there instead.
result<void> check_required(std::span<field const> schema, item_set const& items,
                            std::vector<problem>* mistakes = nullptr);

/// Reads one TOML file into `items`; its fields replace those that are already there. With `mistakes`, a
/// wrong value is left out and its mistake added there; without, the first one fails.
result<void> read_toml_file(std::filesystem::path const& path, file_layout shape,
                            std::span<field const> schema, item_set& items,
                            std::vector<problem>* mistakes = nullptr);

/// Like `read_toml_file`, for text; `file` is the name in error messages.
result<void> read_toml_text(std::string const& text, std::string const& file, file_layout shape,
                            std::span<field const> schema, item_set& items,
                            std::vector<problem>* mistakes = nullptr);

/// The "*.toml" files of the operators' folder in the order of their names; fails when there is none.
result<std::vector<std::filesystem::path>> list_configuration_folder(std::filesystem::path const& folder);

/// Reads every "*.toml" of the operators' folder in the order of the file names.
result<item_set> read_configuration_folder(std::filesystem::path const& folder);

/// Null when the field is absent.
located_value const* find_field(field_map const& fields, std::string const& name);

} // namespace caraway
