#include "lab/scenario.hpp"

#include <toml++/toml.h>

namespace caraway::lab {

namespace {

/// Reads one field of the table; returns false for an unknown name.
bool read_field(scenario& wanted, std::string_view name, toml::node const& node) {
    struct number_field {
        std::string_view name;
        double scenario::*place;
    };
    static constexpr number_field numbers[] = {
        {"seconds", &scenario::seconds},         {"overload_from", &scenario::overload_from},
        {"overload_to", &scenario::overload_to}, {"load", &scenario::load},
        {"rate_factor", &scenario::rate_factor}, {"surge", &scenario::surge},
        {"slow_factor", &scenario::slow_factor}, {"greedy_factor", &scenario::greedy_factor}};
    for (auto const& field : numbers) {
        if (field.name == name && node.is_number()) {
            wanted.*field.place = node.value<double>().value_or(0);
            return true;
        }
    }
    if (name == "name" || name == "deployment") {
        (name == "name" ? wanted.name : wanted.deployment) = node.value<std::string>().value_or("");
        return true;
    }
    if (name == "resends") {
        wanted.resends = node.value<int>().value_or(0);
        return true;
    }
    if (name == "kill" || name == "one_entry") {
        (name == "kill" ? wanted.kill : wanted.one_entry) = node.value<bool>().value_or(false);
        return true;
    }
    return false;
}

} // namespace

result<scenario> read_scenario(std::string const& path) {
    scenario wanted;
    try {
        auto const table = toml::parse_file(path);
        for (auto const& [key, node] : table) {
            if (!read_field(wanted, key.str(), node)) {
                return fail({result_code::configuration_unknown_name,
                             "No scenario setting is named '" + std::string(key.str()) + "'.", path,
                             static_cast<int>(node.source().begin.line)});
            }
        }
    } catch (toml::parse_error const& error) {
        return fail({result_code::configuration_syntax, std::string(error.description()) + ".", path,
                     static_cast<int>(error.source().begin.line)});
    }
    return wanted;
}

} // namespace caraway::lab
