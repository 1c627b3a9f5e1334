#include "config/settings.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace caraway {

namespace {

constexpr std::array<std::string_view, 3> mode_names{"full", "per_host", "off"};
constexpr std::array<std::string_view, 3> placement_names{"load", "wait", "regional"};
/// The place of "regional" in `placement_names`: by wait in a fleet of several regions, else by load.
constexpr std::size_t regional_placement = 2;
constexpr std::array<std::string_view, 2> call_correlation_names{"token", "deadline"};
constexpr std::array<std::string_view, 2> admission_basis_names{"count", "cost"};
constexpr std::array<std::string_view, 3> warm_up_names{"fixed", "learned", "none"};
constexpr std::array<std::string_view, 5> log_levels{"trace", "debug", "info", "warn", "error"};
constexpr std::size_t seed_part_count = 4;

/// Looks settings up by section and name; falls back to a default where one is absent.
class settings_reader {
public:
    explicit settings_reader(item_set const& read_items) : items(read_items) {}

    located_value const* find(std::string const& section, std::string const& name) const {
        auto const found = this->items.find(section);
        return found == this->items.end() ? nullptr : find_field(found->second.at(""), name);
    }

    template <typename T>
    T get_or(std::string const& section, std::string const& name, T fallback) const {
        auto const* found = this->find(section, name);
        return found == nullptr ? fallback : std::get<T>(found->value);
    }

    result<endpoint> required_address(std::string const& name) const {
        auto const* found = this->find("addresses", name);
        return boost::leaf::try_handle_some(
            [&]() -> result<endpoint> { return parse_endpoint(std::get<std::string>(found->value)); },
            [&](problem cause) -> result<endpoint> {
                cause.message = "'addresses." + name + "': " + cause.message;
                cause.file = found->file;
                cause.line = found->line;
                return fail(cause);
            });
    }

    result<std::optional<endpoint>> optional_address(std::string const& name) const {
        if (this->find("addresses", name) == nullptr) {
            return std::nullopt;
        }
        BOOST_LEAF_AUTO(found, this->required_address(name));
        return std::optional(found);
    }

private:
    item_set const& items;
};

result<seed_peer> parse_seed(std::string const& text, located_value const& place) {
    std::array<std::string, seed_part_count> parts;
    std::size_t begin = 0;
    for (std::size_t index = 0; index < seed_part_count; ++index) {
        auto const end = index + 1 == seed_part_count ? std::string::npos : text.find('=', begin);
        if (index + 1 < seed_part_count && end == std::string::npos) {
            return fail({result_code::configuration_out_of_bounds,
                         "'" + text + "' is not HOST=DOMAIN=SERVICE=IP:PORT.", place.file, place.line});
        }
        parts.at(index) = text.substr(begin, end - begin);
        begin = end + 1;
    }
    BOOST_LEAF_CHECK(parse_endpoint(parts[3]));
    return seed_peer{parts[0], parts[1], parts[2], parts[3]};
}

result<std::map<std::string, std::string>> parse_domain_regions(located_value const& entries) {
    std::map<std::string, std::string> regions;
    for (auto const& text : std::get<std::vector<std::string>>(entries.value)) {
        auto const separator = text.find('=');
        if (separator == 0 || separator == std::string::npos) {
            return fail({result_code::configuration_out_of_bounds, "'" + text + "' is not DOMAIN=REGION.",
                         entries.file, entries.line});
        }
        regions[text.substr(0, separator)] = text.substr(separator + 1);
    }
    return regions;
}

bool has_several_regions(settings const& options) {
    return std::ranges::any_of(options.domain_regions, [&options](auto const& entry) {
        return entry.second != options.domain_regions.begin()->second;
    });
}

result<void> require_sections(item_set& items) {
    for (auto const& entry : settings_schema()) {
        if (entry.required) {
            items[std::string(entry.section)][""];
        }
    }
    return check_required(settings_schema(), items);
}

template <std::size_t Count>
result<std::size_t> parse_choice(std::array<std::string_view, Count> const& names, std::string const& text,
                                 std::string const& setting) {
    auto const* found = std::ranges::find(names, text);
    if (found == names.end()) {
        return fail(
            {result_code::configuration_out_of_bounds, "'" + setting + "' does not accept '" + text + "'."});
    }
    return static_cast<std::size_t>(found - names.begin());
}

} // namespace

std::string_view name_of(control_mode value) {
    return mode_names.at(static_cast<std::size_t>(value));
}

result<endpoint> parse_endpoint(std::string const& text) {
    auto const colon = text.rfind(':');
    unsigned int port = 0;
    if (colon != std::string::npos) {
        auto const* end = text.data() + text.size();
        auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
        if (parsed.ptr != end) {
            port = 0;
        }
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(text.substr(0, colon), error);
    if (error || port == 0 || port > 65'535) {
        return fail({result_code::configuration_out_of_bounds, "'" + text + "' is not IP:PORT."});
    }
    return endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

result<settings> read_settings(std::string const& path) {
    item_set items;
    BOOST_LEAF_CHECK(read_toml_file(path, file_layout::plain_tables, settings_schema(), items));
    BOOST_LEAF_CHECK(require_sections(items));
    settings_reader const reader(items);
    settings parsed;
    parsed.host = reader.get_or<std::string>("node", "host", "");
    parsed.failure_domain = reader.get_or<std::string>("node", "failure_domain", "");
    parsed.service = reader.get_or<std::string>("node", "service", "");
    BOOST_LEAF_ASSIGN(parsed.callers, reader.required_address("callers"));
    BOOST_LEAF_ASSIGN(parsed.egress, reader.optional_address("egress"));
    BOOST_LEAF_ASSIGN(parsed.readiness, reader.optional_address("readiness"));
    BOOST_LEAF_ASSIGN(parsed.link, reader.required_address("link"));
    BOOST_LEAF_ASSIGN(parsed.operators, reader.required_address("operators"));
    BOOST_LEAF_ASSIGN(parsed.target, reader.required_address("target"));
    parsed.platform_interface =
        reader.get_or<std::string>("platform", "interface", parsed.platform_interface);
    parsed.platform_url = reader.get_or<std::string>("platform", "url", "");
    parsed.platform_parameters = reader.get_or<std::string>("platform", "parameters", "");
    parsed.fleet_secret = reader.get_or<std::string>("link", "fleet_secret", "");
    if (auto const* domains = reader.find("node", "failure_domains")) {
        parsed.failure_domains = std::get<std::vector<std::string>>(domains->value);
    }
    parsed.region = reader.get_or<std::string>("node", "region", "");
    if (auto const* regions = reader.find("node", "failure_domain_regions")) {
        BOOST_LEAF_ASSIGN(parsed.domain_regions, parse_domain_regions(*regions));
    }
    if (auto const* seeds = reader.find("link", "peers")) {
        for (auto const& text : std::get<std::vector<std::string>>(seeds->value)) {
            BOOST_LEAF_AUTO(seed, parse_seed(text, *seeds));
            parsed.peers.push_back(std::move(seed));
        }
    }
    auto const size_limit = [&](std::string const& name, std::size_t fallback) {
        return static_cast<std::size_t>(reader.get_or<double>("limits", name, static_cast<double>(fallback)));
    };
    parsed.max_body = size_limit("max_body", parsed.max_body);
    parsed.max_header = size_limit("max_header", parsed.max_header);
    parsed.max_connections = size_limit("max_connections", parsed.max_connections);
    parsed.max_requests = size_limit("max_requests", parsed.max_requests);
    parsed.idle_timeout_ms = reader.get_or<double>("limits", "idle_timeout_ms", parsed.idle_timeout_ms);
    parsed.header_timeout_ms = reader.get_or<double>("limits", "header_timeout_ms", parsed.header_timeout_ms);
    parsed.memory_mb = size_limit("memory_mb", parsed.memory_mb);
    parsed.max_pipeline = size_limit("max_pipeline", parsed.max_pipeline);
    parsed.drain_ms = reader.get_or<double>("limits", "drain_ms", parsed.drain_ms);
    parsed.rate_shards = static_cast<std::uint8_t>(
        reader.get_or<double>("control", "rate_shards", static_cast<double>(parsed.rate_shards)));
    BOOST_LEAF_AUTO(egress_correlation,
                    parse_choice(call_correlation_names,
                                 reader.get_or<std::string>("control", "call_context", "token"),
                                 "control.call_context"));
    parsed.egress_correlation = static_cast<call_correlation>(egress_correlation);
    BOOST_LEAF_AUTO(mode, parse_choice(mode_names, reader.get_or<std::string>("control", "mode", "full"),
                                       "control.mode"));
    parsed.mode = static_cast<control_mode>(mode);
    BOOST_LEAF_AUTO(placement,
                    parse_choice(placement_names, reader.get_or<std::string>("control", "placement", "load"),
                                 "control.placement"));
    parsed.placement = placement == regional_placement
                           ? (has_several_regions(parsed) ? placement_rule::wait : placement_rule::load)
                           : static_cast<placement_rule>(placement);
    BOOST_LEAF_AUTO(admission, parse_choice(admission_basis_names,
                                            reader.get_or<std::string>("control", "admission", "count"),
                                            "control.admission"));
    parsed.admission = static_cast<admission_basis>(admission);
    BOOST_LEAF_AUTO(warm_up, parse_choice(warm_up_names,
                                          reader.get_or<std::string>("control", "target_warm_up", "fixed"),
                                          "control.target_warm_up"));
    parsed.target_warm_up = static_cast<warm_up_rule>(warm_up);
    parsed.log_level = reader.get_or<std::string>("telemetry", "log_level", parsed.log_level);
    BOOST_LEAF_CHECK(parse_choice(log_levels, parsed.log_level, "telemetry.log_level"));
    parsed.span_file_descriptor = static_cast<int>(
        reader.get_or<double>("telemetry", "span_file_descriptor", parsed.span_file_descriptor));
    parsed.span_url = reader.get_or<std::string>("telemetry", "span_url", "");
    return parsed;
}

} // namespace caraway
