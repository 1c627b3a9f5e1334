#include "http/header_rules.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <span>

namespace caraway::header {

namespace {

constexpr auto hop_by_hop_names = std::to_array<std::string_view>(
    {"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Proxy-Authorization",
     "Proxy-Authenticate", "Proxy-Connection", "Content-Length", "Host", "Expect"});

constexpr auto internal_names =
    std::to_array<std::string_view>({"Authorization", "Cookie", "X-Api-Key", context, result_outcome,
                                     result_code, idempotency_key, traceparent});

bool is_one_of(std::span<std::string_view const> names, std::string_view name) {
    return std::ranges::any_of(names,
                               [name](std::string_view entry) { return boost::beast::iequals(name, entry); });
}

} // namespace

bool is_hop_by_hop(std::string_view name) {
    return is_one_of(hop_by_hop_names, name);
}

bool is_internal(std::string_view name) {
    return is_one_of(internal_names, name);
}

} // namespace caraway::header
