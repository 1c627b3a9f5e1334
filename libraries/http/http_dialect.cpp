#include "http/http_dialect.hpp"

#include "http/header_rules.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace caraway {

namespace {

constexpr std::array<unsigned int, 4> promising_statuses{408, 421, 429, 503};

bool is_same(std::string_view left, std::string_view right) {
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

} // namespace

bool http_dialect::is_private(std::string_view name) const {
    auto const own = {&this->request_id,   &this->timeout,         &this->key,      &this->deadline,
                      &this->organisation, &this->calling_service, &this->instance, &this->not_run};
    bool const is_own = this->has_own_fields && header::is_own(name);
    return is_own || header::is_of_connection(name) ||
           std::ranges::any_of(
               own, [name](std::string const* entry) { return !entry->empty() && is_same(name, *entry); });
}

bool http_dialect::is_promise(unsigned int status) const {
    return this->statuses_promise &&
           std::ranges::find(promising_statuses, status) != promising_statuses.end();
}

} // namespace caraway
