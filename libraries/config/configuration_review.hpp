/// Reviews a configuration before it is published: what the nodes would refuse, entries that can never match,
/// and limits that contradict each other.
///
/// What a node refuses is found by the node's own checks (item_set.hpp, configuration.hpp), and whether a
/// route matches by its own search; this adds only what a node accepts and an operator is unlikely to mean.
#pragma once

#include "config/item_set.hpp"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace caraway {

/// `error`: a node refuses the configuration. `warning`: part of it has no effect or contradicts another
/// part. `note`: unusual, but may be meant.
enum class finding_severity : std::uint8_t { error, warning, note };

std::string_view name_of(finding_severity value);

struct finding {
    finding_severity severity{finding_severity::note};
    std::string key; ///< "SECTION.NAME.FIELD" as far as known; empty for a whole file.
    std::string message;
    std::string file;
    int line{0}; ///< From 1; 0 when unknown.
};

struct configuration_review {
    std::vector<finding> findings; ///< Errors first, each severity by file and line.
    item_set items;                ///< What could be read.
    bool is_valid{false};          ///< Whether a node would accept the configuration.
};

/// Reads the files, merged in this order, of which each may be a folder. Every mistake is reported and what
/// is wrong left out; the items are compared with each other only when there is none.
configuration_review review_files(std::vector<std::filesystem::path> const& files);

/// Reviews items that have been read without a mistake.
configuration_review review_items(item_set items);

/// What the targets of a service can do now, as the nodes measure it.
struct service_capacity {
    double requests_per_second{0};            ///< Of all targets together.
    double requests_per_second_and_target{0}; ///< Of the fastest one.
};

/// Finds limits of valid items that contradict what the services carry, by service. Services that are not
/// named are not known, and nothing is compared with them.
std::vector<finding> review_capacities(item_set const& items,
                                       std::map<std::string, service_capacity> const& capacities);

/// What an operator changes by publishing `wanted` in place of `current`.
struct configuration_difference {
    enum class kind : std::uint8_t { added, removed, changed };

    kind change{kind::changed};
    std::string key;      ///< "SECTION.NAME", with ".FIELD" when changed.
    std::string before;   ///< Empty when added.
    std::string after;    ///< Empty when removed.
    std::string affected; ///< Whom it touches, in words.
    std::string file;     ///< Of the new value; empty when removed.
    int line{0};
};

std::string_view name_of(configuration_difference::kind value);

std::vector<configuration_difference> compare_items(item_set const& current, item_set const& wanted);

/// A value as it is written in a file.
std::string to_display_text(located_value const& value);

} // namespace caraway
