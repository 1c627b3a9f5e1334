#include "http/http_dialect.hpp"

#include "http/header_rules.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace caraway {

namespace {

constexpr std::array<unsigned int, 4> not_run_statuses{408, 421, 429, 503};

bool equals_ignoring_case(std::string_view left, std::string_view right) {
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

} // namespace

bool http_dialect::is_stripped(std::string_view name) const {
    auto const dialect_names = {&this->request_id,   &this->timeout,         &this->key,      &this->deadline,
                                &this->organisation, &this->calling_service, &this->instance, &this->not_run};
    bool const is_internal = this->has_extension_headers && header::is_internal(name);
    return is_internal || header::is_hop_by_hop(name) ||
           std::ranges::any_of(dialect_names, [name](std::string const* entry) {
               return !entry->empty() && equals_ignoring_case(name, *entry);
           });
}

bool http_dialect::means_not_run(unsigned int status) const {
    return this->statuses_mean_not_run &&
           std::ranges::find(not_run_statuses, status) != not_run_statuses.end();
}

} // namespace caraway
