#include "config/item_set.hpp"

#include "config/mistake_collection.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace caraway {

namespace {

/// Enough to write every bound without an exponent.
constexpr int number_digits = 12;

int line_of(toml::node const& node) {
    return static_cast<int>(node.source().begin.line);
}

problem problem_at(result_code code, std::string message, located_value const& place) {
    return {code, std::move(message), place.file, place.line};
}

value_type type_of(located_value const& value) {
    return static_cast<value_type>(value.value.index());
}

std::string format_number(double number) {
    std::ostringstream stream;
    stream << std::setprecision(number_digits) << number;
    return stream.str();
}

result<located_value> to_located_value(toml::node const& node, std::string const& file,
                                       std::string const& name) {
    located_value converted{.file = file, .line = line_of(node)};
    if (node.is_number()) {
        converted.value = node.value<double>().value_or(0);
        return converted;
    }
    if (auto const boolean = node.value_exact<bool>()) {
        converted.value = *boolean;
        return converted;
    }
    if (auto const text = node.value_exact<std::string>()) {
        converted.value = *text;
        return converted;
    }
    auto const* list = node.as_array();
    if (list == nullptr) {
        return fail(problem_at(result_code::configuration_wrong_type,
                               "'" + name + "' is not a number, boolean, text or list.", converted));
    }
    std::vector<std::string> texts;
    for (auto const& element : *list) {
        auto const text = element.value_exact<std::string>();
        if (!text) {
            return fail(problem_at(result_code::configuration_wrong_type,
                                   "'" + name + "' must hold only texts.", converted));
        }
        texts.push_back(*text);
    }
    converted.value = std::move(texts);
    return converted;
}

result<void> read_fields(toml::table const& table, std::string const& file, std::string const& section,
                         std::span<field const> schema, field_map& fields, std::vector<problem>* mistakes) {
    for (auto const& entry : table) {
        auto const& node = entry.second;
        std::string const name(entry.first.str());
        BOOST_LEAF_CHECK(collect_or_fail(mistakes, [&]() -> result<void> {
            BOOST_LEAF_AUTO(value, to_located_value(node, file, section + "." + name));
            BOOST_LEAF_CHECK(check_value(schema, section, name, value));
            fields[name] = std::move(value);
            return {};
        }));
    }
    return {};
}

result<void> read_section(std::string const& section, toml::node const& node, std::string const& file,
                          file_layout shape, std::span<field const> schema, item_set& items,
                          std::vector<problem>* mistakes) {
    bool const known =
        std::ranges::any_of(schema, [&](field const& entry) { return entry.section == section; });
    if (!known) {
        return fail({result_code::configuration_unknown_name, "No section is named '" + section + "'.", file,
                     line_of(node)});
    }
    auto const* table = node.as_table();
    if (table == nullptr) {
        return fail({result_code::configuration_wrong_type, "'" + section + "' must be a table.", file,
                     line_of(node)});
    }
    if (shape == file_layout::plain_tables) {
        return read_fields(*table, file, section, schema, items[section][""], mistakes);
    }
    for (auto const& entry : *table) {
        auto const& item = entry.second;
        std::string const name(entry.first.str());
        BOOST_LEAF_CHECK(collect_or_fail(mistakes, [&]() -> result<void> {
            auto const* fields = item.as_table();
            if (fields == nullptr || name.empty()) {
                return fail({result_code::configuration_wrong_type,
                             "'" + section + "." + name + "' must be a named table.", file, line_of(item)});
            }
            return read_fields(*fields, file, section, schema, items[section][name], mistakes);
        }));
    }
    return {};
}

} // namespace

result<void> check_value(std::span<field const> schema, std::string const& section, std::string const& name,
                         located_value const& value) {
    auto const found = std::ranges::find_if(
        schema, [&](field const& entry) { return entry.section == section && entry.name == name; });
    auto const full_name = "'" + section + "." + name + "'";
    if (found == schema.end()) {
        return fail(problem_at(result_code::configuration_unknown_name,
                               "No setting is named " + full_name + ".", value));
    }
    if (type_of(value) != found->type) {
        return fail(problem_at(result_code::configuration_wrong_type,
                               full_name + " must be " + std::string(name_of(found->type)) + ".", value));
    }
    double measure = found->minimum;
    if (auto const* number = std::get_if<double>(&value.value)) {
        measure = *number;
    } else if (auto const* text = std::get_if<std::string>(&value.value)) {
        measure = static_cast<double>(text->size());
    }
    // Written so that NaN fails as well.
    bool const inside = measure >= found->minimum && measure <= found->maximum;
    if (!inside) {
        return fail(problem_at(result_code::configuration_out_of_bounds,
                               full_name + " must be from " + format_number(found->minimum) + " to " +
                                   format_number(found->maximum) +
                                   (found->type == value_type::text ? " characters" : "") + ".",
                               value));
    }
    return {};
}

result<void> check_required(std::span<field const> schema, item_set const& items,
                            std::vector<problem>* mistakes) {
    for (auto const& [section, section_items] : items) {
        for (auto const& [name, fields] : section_items) {
            for (auto const& entry : schema) {
                if (entry.section != section || !entry.required || fields.contains(std::string(entry.name))) {
                    continue;
                }
                auto const item = name.empty() ? section : section + "." + name;
                located_value const place = fields.empty() ? located_value{} : fields.begin()->second;
                BOOST_LEAF_CHECK(collect_or_fail(mistakes, [&]() -> result<void> {
                    return fail(problem_at(result_code::configuration_missing,
                                           "'" + item + "' has no '" + std::string(entry.name) + "'.",
                                           place));
                }));
            }
        }
    }
    return {};
}

result<void> read_toml_text(std::string const& text, std::string const& file, file_layout shape,
                            std::span<field const> schema, item_set& items, std::vector<problem>* mistakes) {
    toml::table table;
    try {
        table = toml::parse(text, file);
    } catch (toml::parse_error const& error) {
        std::string const message(error.description());
        bool const duplicate = message.find("redefine") != std::string::npos;
        return fail({duplicate ? result_code::configuration_duplicate : result_code::configuration_syntax,
                     message + ".", file, static_cast<int>(error.source().begin.line)});
    }
    for (auto const& entry : table) {
        auto const& node = entry.second;
        std::string const section(entry.first.str());
        BOOST_LEAF_CHECK(collect_or_fail(
            mistakes, [&] { return read_section(section, node, file, shape, schema, items, mistakes); }));
    }
    return {};
}

result<void> read_toml_file(std::filesystem::path const& path, file_layout shape,
                            std::span<field const> schema, item_set& items, std::vector<problem>* mistakes) {
    std::ifstream stream(path, std::ios::binary);
    // No more than this is read, whatever the size of the file.
    std::string content(max_value_bytes + 1, '\0');
    stream.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (!stream.is_open() || stream.bad() || (stream.fail() && !stream.eof())) {
        return fail({result_code::configuration_unreadable, "The file can't be read.", path.string()});
    }
    content.resize(static_cast<std::size_t>(stream.gcount()));
    if (content.size() > max_value_bytes) {
        return fail({result_code::configuration_too_large,
                     "The file is over " + std::to_string(max_value_bytes) + " bytes.", path.string()});
    }
    return read_toml_text(content, path.string(), shape, schema, items, mistakes);
}

result<std::vector<std::filesystem::path>> list_configuration_folder(std::filesystem::path const& folder) {
    std::error_code error;
    std::vector<std::filesystem::path> files;
    for (auto const& entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() == ".toml") {
            files.push_back(entry.path());
        }
    }
    if (error) {
        return fail({result_code::configuration_unreadable, error.message() + ".", folder.string()});
    }
    if (files.empty()) {
        return fail(
            {result_code::configuration_unreadable, "The folder has no .toml file.", folder.string()});
    }
    std::ranges::sort(files);
    return files;
}

result<item_set> read_configuration_folder(std::filesystem::path const& folder) {
    BOOST_LEAF_AUTO(files, list_configuration_folder(folder));
    item_set items;
    for (auto const& file : files) {
        BOOST_LEAF_CHECK(read_toml_file(file, file_layout::named_items, configuration_schema(), items));
    }
    return items;
}

located_value const* find_field(field_map const& fields, std::string const& name) {
    auto const found = fields.find(name);
    return found == fields.end() ? nullptr : &found->second;
}

} // namespace caraway
